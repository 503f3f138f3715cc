/**
 * Guards against nodes that together admit more of a team's requests than its
 * quota allows, and against requests under the quota that are refused or wait.
 */
import type {QuotaLoad} from './quota_load.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PAUSED, startQuotaLoad, TEAMS, USUAL_DEMAND} from './quota_load.js';

const OVERLOAD = 3;

describe('quotas of teams over all nodes', function () {
  this.timeout(120_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install({toFake: [...PAUSED]});
  });
  afterEach(() => clock.uninstall());

  function startLoad(nodeCount: number): Promise<QuotaLoad> {
    return startQuotaLoad(clock, nodeCount, TEAMS);
  }

  for (const nodeCount of [1, 7, 91, 300]) {
    it(`admit what is under the limit at ${nodeCount} nodes in calm`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(20_000, USUAL_DEMAND);
      load.expectRuleKept();
      for (const {name} of TEAMS)
        expect(load.admittedShare(name), name).to.be.at.least(0.97);
    });

    it(`are kept and used by ${nodeCount} nodes that want three times as much`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(20_000, OVERLOAD);
      load.expectRuleKept();
      for (const {name} of TEAMS)
        expect(load.usedShare(name), name).to.be.at.least(0.95);
    });
  }

  it('cost no message while nobody calls', async () => {
    const load = await startLoad(91);
    await load.run(2_000, USUAL_DEMAND);
    // Calls that are under way end.
    await load.run(1_000, 0);
    const callsBefore = load.cluster.callCount;
    await load.run(20_000, 0);
    expect(load.cluster.callCount).to.equal(callsBefore);
  });
});
