/**
 * Guards against nodes that together admit more of a team's requests than its
 * quota allows, and against requests under the quota that are refused or wait.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {QuotaCluster} from './quota_cluster.js';
import {QuotaLoad, TEAMS, USUAL_DEMAND} from './quota_load.js';

/** Until issuers have seen all nodes and have filled their buckets. */
const WARM_UP_MILLISECONDS = 8_000;
const OVERLOAD = 3;

describe('quotas of teams over all nodes', function () {
  this.timeout(120_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install({
      toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'],
    });
  });
  afterEach(() => clock.uninstall());

  async function startLoad(nodeCount: number): Promise<QuotaLoad> {
    const cluster = new QuotaCluster(nodeCount, TEAMS, async milliseconds => {
      clock.tick(milliseconds);
      await new Promise(resolve => setImmediate(resolve));
    });
    const load = new QuotaLoad(cluster, TEAMS);
    await load.run(WARM_UP_MILLISECONDS, 0);
    return load;
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
