// Guards against nodes that all send to the engine which their stale views show as
// the least loaded: requests then meet full engines while others have free slots.
import type {
  SharedEnginesResult,
  SharedEnginesSettings,
} from './shared_engines.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {pickUpstream} from '../../proxy/balance/pick_upstream.js';
import {testUpstream} from './proxy_fixtures.js';
import {SharedEngines} from './shared_engines.js';

const SEEDS = ['spring', 'summer', 'autumn'];
const RUN_SECONDS = 10;
/** Counts of other nodes are up to 3 s old, which then swing for some seconds. */
const SETTLED_SECONDS = 8;
const UNEVEN_SECONDS = 20;
/** Customer B on a calm day: 393 streams per second on 936 slots. */
const BUSY_FLEET = {
  engineCount: 78,
  slots: 12,
  failureDomains: 3,
  requestsPerSecond: 393,
  requestMilliseconds: 450,
};
/** Nodes, engines, slots and load as in deployments in service. */
const SMALL_FLEETS = [
  {nodeCount: 7, engineCount: 6, slots: 64, requestsPerSecond: 170},
  {nodeCount: 6, engineCount: 13, slots: 64, requestsPerSecond: 400},
  {nodeCount: 7, engineCount: 10, slots: 32, requestsPerSecond: 160},
];
const SLOW_PERCENT = 250;

/** Every fifth engine is slow. */
function unevenWorkPercent(engine: number): number {
  return engine % 5 === 0 ? SLOW_PERCENT : 100;
}

function average(
  results: readonly SharedEnginesResult[],
  read: (result: SharedEnginesResult) => number,
): number {
  return (
    results.reduce((sum, result) => sum + read(result), 0) / results.length
  );
}

describe('balance of nodes with stale views of shared engines', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  function run(
    settings: Omit<SharedEnginesSettings, 'seed'>,
    seconds = RUN_SECONDS,
  ): SharedEnginesResult[] {
    return SEEDS.map(seed =>
      new SharedEngines({...settings, seed}).run(seconds, milliseconds =>
        clock.tick(milliseconds),
      ),
    );
  }

  for (const nodeCount of [35, 91]) {
    it(`sends few requests of ${nodeCount} nodes to full engines`, () => {
      const common = {...BUSY_FLEET, nodeCount, maximumReplicas: 15};
      const chosen = run({...common, assumedSenders: nodeCount});
      const herded = run({...common, assumedSenders: 1});
      expect(average(chosen, ({overflowShare}) => overflowShare)).to.be.below(
        0.25 * average(herded, ({overflowShare}) => overflowShare),
      );
      expect(average(chosen, ({slowdown95}) => slowdown95)).to.be.below(
        average(herded, ({slowdown95}) => slowdown95),
      );
      for (const {busiestShare} of chosen)
        expect(busiestShare).to.be.at.most(1.5);
    });
  }

  it('sends less to engines that tell that work takes longer', () => {
    const common = {
      ...BUSY_FLEET,
      nodeCount: 35,
      maximumReplicas: 15,
      assumedSenders: 35,
      workPercent: unevenWorkPercent,
    };
    const told = run({...common, isWorkTold: true});
    const untold = run({...common, isWorkTold: false});
    // Each node hears from each engine once in 7 s, so that it learns slowly.
    const ofSlow = ({slowShare}: SharedEnginesResult) => slowShare;
    expect(average(told, ofSlow)).to.be.below(0.8 * average(untold, ofSlow));
    expect(average(told, ({slowdown95}) => slowdown95)).to.be.below(
      average(untold, ({slowdown95}) => slowdown95),
    );
  });

  for (const firstDomainPart of [0.6, 0.8]) {
    it(`sends steadily elsewhere if ${firstDomainPart} of the callers are in one domain`, () => {
      const common = {...BUSY_FLEET, nodeCount: 35, firstDomainPart};
      const chosen = run({...common, assumedSenders: 35}, UNEVEN_SECONDS);
      const herded = run({...common, assumedSenders: 1}, UNEVEN_SECONDS);
      expect(average(chosen, ({overflowShare}) => overflowShare)).to.be.below(
        average(herded, ({overflowShare}) => overflowShare),
      );
      expect(
        average(chosen, ({crossDomainShare}) => crossDomainShare),
      ).to.be.below(average(herded, ({crossDomainShare}) => crossDomainShare));
      const swing = ({leftBySecond}: SharedEnginesResult) => {
        const settled = leftBySecond.slice(SETTLED_SECONDS, UNEVEN_SECONDS);
        return Math.max(...settled) - Math.min(...settled);
      };
      expect(average(chosen, swing)).to.be.below(0.25);
      expect(average(chosen, swing)).to.be.below(0.7 * average(herded, swing));
    });
  }

  it('decides alike at all nodes of a domain without asking', () => {
    const results = run(
      {
        ...BUSY_FLEET,
        nodeCount: 35,
        firstDomainPart: 0.8,
        assumedSenders: 35,
      },
      UNEVEN_SECONDS,
    );
    for (const {lastShares} of results) {
      const sorted = [...lastShares].sort((left, right) => left - right);
      const at = (part: number) => sorted[Math.floor(part * sorted.length)];
      expect(at(0.5)).to.be.within(0.2, 0.6);
      expect(at(0.95) - at(0.05)).to.be.below(0.25);
    }
  });

  it('takes the least loaded engine while one request of each node fits', () => {
    const upstreams = Array.from({length: 13}, (_item, index) =>
      testUpstream(`engine-${index}`, [], {slots: 32}),
    );
    upstreams.forEach((upstream, index) => {
      upstream.peersInFlight = index === 7 ? 1 : 3;
    });
    const random = seedrandom('small');
    for (let index = 0; index < 100; index += 1) {
      const picked = pickUpstream(upstreams, upstreams, {
        ownFailureDomain: 'near',
        priceShare: 0.2,
        fullShare: 1,
        senderCount: 7,
        random,
      });
      expect(picked?.id).to.equal('engine-7');
    }
  });

  it('prefers its own failure domain on an idle service', () => {
    const upstreams = Array.from({length: 78}, (_item, index) =>
      testUpstream(`engine-${index}`, [], {
        slots: 12,
        failureDomain: index % 3 === 0 ? 'near' : `far-${index % 3}`,
      }),
    );
    const random = seedrandom('idle');
    for (let index = 0; index < 100; index += 1) {
      const picked = pickUpstream(upstreams, upstreams, {
        ownFailureDomain: 'near',
        priceShare: 0.2,
        fullShare: 1,
        senderCount: 91,
        random,
      });
      expect(picked?.description.failureDomain).to.equal('near');
    }
  });

  for (const fleet of SMALL_FLEETS) {
    const {nodeCount, engineCount, slots} = fleet;
    it(`keeps ${engineCount} engines of ${slots} slots even with ${nodeCount} nodes`, () => {
      const results = run({
        ...fleet,
        failureDomains: 3,
        maximumReplicas: engineCount,
        requestMilliseconds: 450,
        assumedSenders: nodeCount,
      });
      for (const {busiestShare, overflowShare} of results) {
        expect(busiestShare).to.be.at.most(1.3);
        expect(overflowShare).to.equal(0);
      }
    });
  }
});
