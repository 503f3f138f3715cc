/**
 * Guards against quotas that are exceeded while nodes are cut off, frozen,
 * lost or restarted, and against teams that are refused as a whole meanwhile.
 */
import type {QuotaCluster, QuotaNode} from './quota_cluster.js';
import type {QuotaLoad} from './quota_load.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PAUSED, startQuotaLoad, TEAMS, USUAL_DEMAND} from './quota_load.js';

const OVERLOAD = 3;

describe('quotas of teams under faults', function () {
  this.timeout(240_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install({toFake: [...PAUSED]});
  });
  afterEach(() => clock.uninstall());

  function startLoad(nodeCount: number): Promise<QuotaLoad> {
    return startQuotaLoad(clock, nodeCount, TEAMS);
  }

  function issuersOf(cluster: QuotaCluster, team: string): QuotaNode[] {
    const identities = cluster.issuerIdentities(team);
    return cluster.nodes.filter(({identity}) => identities.includes(identity));
  }

  for (const nodeCount of [7, 91, 300]) {
    for (const parts of nodeCount === 300 ? [3] : [2, 3, nodeCount]) {
      it(`are kept by ${nodeCount} nodes in ${parts} parts and when these join again`, async () => {
        const load = await startLoad(nodeCount);
        await load.run(10_000, OVERLOAD);
        load.cluster.partition(({index}) => index % parts);
        await load.run(18_000, OVERLOAD);
        load.cluster.partition(() => 0);
        await load.run(12_000, OVERLOAD);
        load.expectRuleKept();
      });
    }

    it(`are kept and used by ${nodeCount} nodes that are all killed at once`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(10_000, OVERLOAD);
      load.cluster.restart(load.cluster.nodes);
      await load.run(5_000, OVERLOAD);
      load.resetCounts();
      await load.run(15_000, OVERLOAD);
      load.expectRuleKept();
      for (const {name} of TEAMS)
        expect(load.usedShare(name), name).to.be.at.least(0.9);
    });

    it(`serve a team at ${nodeCount} nodes while one of its issuers is lost`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(5_000, USUAL_DEMAND);
      load.resetCounts();
      load.cluster.freeze(issuersOf(load.cluster, 'large')[0], 30_000);
      await load.run(8_000, USUAL_DEMAND);
      load.expectRuleKept();
      expect(load.admittedShare('large')).to.be.at.least(0.9);
    });

    it(`admit what is under the limit at ${nodeCount} nodes with 20 in 100 cut off`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(5_000, USUAL_DEMAND);
      load.resetCounts();
      load.cluster.partition(({index}) => Number(index % 5 === 0));
      await load.run(30_000, USUAL_DEMAND);
      load.expectRuleKept();
      expect(load.admittedShareOfAll).to.be.at.least(0.9);
    });
  }

  for (const nodeCount of [7, 91]) {
    it(`admit what is under the limit at ${nodeCount} nodes of which 20 in 100 are alone`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(5_000, USUAL_DEMAND);
      load.resetCounts();
      load.cluster.partition(({index}) => (index % 5 === 0 ? index + 1 : 0));
      await load.run(40_000, USUAL_DEMAND);
      load.expectRuleKept();
      expect(load.admittedShareOfAll).to.be.at.least(0.9);
    });

    it(`are kept by ${nodeCount} nodes when issuers freeze and wake up`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(10_000, OVERLOAD);
      for (const milliseconds of [2_000, 6_000, 12_000]) {
        for (const {name} of TEAMS)
          for (const issuer of issuersOf(load.cluster, name))
            load.cluster.freeze(issuer, milliseconds);
        await load.run(milliseconds + 6_000, OVERLOAD);
      }
      load.expectRuleKept();
    });

    it(`are kept by ${nodeCount} nodes when issuers start again and again`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(10_000, OVERLOAD);
      for (let restart = 0; restart < 6; restart += 1) {
        for (const {name} of TEAMS) {
          const issuers = issuersOf(load.cluster, name);
          load.cluster.restart(issuers.slice(0, 1 + (restart % 2)));
        }
        await load.run(2_500, OVERLOAD);
      }
      await load.run(8_000, OVERLOAD);
      load.expectRuleKept();
    });

    it(`serve teams at ${nodeCount} nodes that start again in turn`, async () => {
      const load = await startLoad(nodeCount);
      await load.run(5_000, USUAL_DEMAND);
      load.resetCounts();
      for (let index = 0; index < 7; index += 1) {
        load.cluster.restart([load.cluster.nodes[index]]);
        await load.run(6_000, USUAL_DEMAND);
      }
      load.expectRuleKept();
      expect(load.admittedShareOfAll).to.be.at.least(0.9);
    });

    it(`are kept by ${nodeCount} nodes when limits fall and rise`, async () => {
      const load = await startLoad(nodeCount);
      for (const factor of [0.1, 1, 0.5, 2]) {
        await load.run(10_000, OVERLOAD);
        load.setTeams(
          TEAMS.map(({name, ratePerSecond, burst}) => ({
            name,
            ratePerSecond: ratePerSecond * factor,
            burst: burst * factor,
          })),
        );
      }
      await load.run(14_000, OVERLOAD);
      load.expectRuleKept();
    });

    it(`are kept and used by ${nodeCount} nodes whose wall clocks step`, async () => {
      const load = await startLoad(nodeCount);
      for (const step of [60_000, -60_000, 1_000, -1_000]) {
        await load.run(5_000, OVERLOAD);
        clock.setSystemTime(Date.now() + step);
      }
      await load.run(5_000, OVERLOAD);
      load.expectRuleKept();
      for (const {name} of TEAMS)
        expect(load.usedShare(name), name).to.be.at.least(0.8);
    });
  }
});
