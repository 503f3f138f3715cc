/**
 * Guards against callers that wait for most of their time and are then refused,
 * and against refusals of what could have been served. Loads: three times what
 * the upstreams can serve, bursts of some seconds, and less than they can serve.
 */
import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';
import type {CallerResult} from './queue_cluster.js';
import type {Arrivals} from './queue_load.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {EarlyRefusal} from '../../proxy/queue/early_refusal.js';
import {
  capacityPerSecond,
  DEFERRED,
  isServed,
  meanLostShare,
  playQueueLoad,
  shareOf,
  SHORT,
  URGENT,
} from './queue_load.js';
import {createProgress} from './queue_cluster.js';

const THREE_ENGINES = {
  slots: 12,
  meanHoldMilliseconds: 900,
  heldModels: [['m'], ['m'], ['m']],
};
const CAPACITY = capacityPerSecond(THREE_ENGINES);

/** Streams of all kinds, as a share of what the engines can serve. */
function mixedArrivals(
  loadShare: number,
  fromSecond: number,
  toSecond: number,
): Arrivals[] {
  const kinds = [
    {route: URGENT, part: 0.6},
    {route: SHORT, part: 0.25},
    {route: DEFERRED, part: 0.15},
  ];
  return kinds.map(({route, part}) => ({
    caller: {
      route,
      model: 'm',
      deadlineMilliseconds: route.callerTimeoutMilliseconds,
    },
    perSecond: CAPACITY * loadShare * part,
    fromSecond,
    toSecond,
  }));
}

function play(
  nodes: number,
  arrivals: readonly Arrivals[],
  hasEarlyRefusal = true,
) {
  const seed = 'early refusal';
  return playQueueLoad({
    ...THREE_ENGINES,
    nodes,
    seed,
    arrivals,
    hasEarlyRefusal,
  });
}

/** Whether it was served before the load of 20 s ended. */
function isServedDuringLoad(result: CallerResult): boolean {
  const {arrivedAt, slotAfterMilliseconds = Infinity} = result;
  return isServed(result) && arrivedAt + slotAfterMilliseconds <= 20_000;
}

describe('queue whose upstreams are full', () => {
  for (const nodes of [1, 4]) {
    it(`tells callers early that they are not served, and serves as many: ${nodes} nodes`, async () => {
      const arrivals = mixedArrivals(3, 0, 20);
      const late = await play(nodes, arrivals, false);
      const early = await play(nodes, arrivals);
      expect(meanLostShare(late)).to.be.above(0.75);
      expect(meanLostShare(early)).to.be.below(0.4);
      expect(shareOf(early, isServedDuringLoad)).to.be.above(
        0.97 * shareOf(late, isServedDuringLoad),
      );
    }).timeout(20_000);
  }

  it('refuses none while there are free slots', async () => {
    for (const nodes of [1, 4]) {
      const results = await play(nodes, mixedArrivals(0.8, 0, 20));
      expect(shareOf(results, isServed)).to.equal(1);
    }
  }).timeout(20_000);

  it('serves a burst late rather than refuse it', async () => {
    const results = await play(1, [
      ...mixedArrivals(0.4, 0, 15),
      {...mixedArrivals(3, 5, 7)[0]},
    ]);
    const urgent = results.filter(({route}) => route === URGENT);
    expect(shareOf(urgent, isServed)).to.equal(1);
  }).timeout(20_000);

  it('serves short streams that precede what waits with later deadlines', async () => {
    const results = await play(4, mixedArrivals(1.3, 0, 20));
    const short = results.filter(({route}) => route === SHORT);
    expect(shareOf(short, isServed)).to.be.above(0.9);
  }).timeout(20_000);
});

describe('early refusal', () => {
  let clock: ReturnType<typeof install>;
  let expectedMilliseconds: number | undefined;
  let refusal: EarlyRefusal;
  let progress: RoutedRequestProgress;
  const position = {ahead: 0, aheadShareInPriority: 0.5};

  beforeEach(() => {
    clock = install();
    refusal = new EarlyRefusal({
      expectedWaitMilliseconds: () => expectedMilliseconds,
      random: () => 1,
    });
    progress = arrive();
  });
  afterEach(() => clock.uninstall());

  /** A short stream, which has 0.8 of 3 s to get a slot. */
  function arrive() {
    const caller = {
      route: SHORT,
      model: 'm',
      deadlineMilliseconds: 3_000,
      holdMilliseconds: 900,
    };
    const deadlineAt = performance.now() + caller.deadlineMilliseconds;
    return createProgress(caller, deadlineAt);
  }

  function refuseNewcomer(expected: number) {
    const request = {progress: arrive(), position, neededMilliseconds: 0};
    return refusal.refuseNewcomer(request, expected);
  }

  function refuseQueued(waitedMilliseconds: number) {
    const request = {progress, position, neededMilliseconds: 0};
    return refusal.refuseQueued(request, waitedMilliseconds);
  }

  it('names the time until the wait is short enough, with a spread', () => {
    const untilRoom = 4_000 - 0.75 * 2_400;
    expect(refuseNewcomer(4_000)).to.be.closeTo(1.25 * untilRoom, 1);
  });

  it('admits again only when the wait has become clearly shorter', () => {
    expect(refuseNewcomer(2_300)).to.equal(undefined);
    expect(refuseNewcomer(2_500)).to.be.above(0);
    expect(refuseNewcomer(2_300)).to.be.above(0);
    expect(refuseNewcomer(1_700)).to.equal(undefined);
    clock.tick(1_100);
    expect(refuseNewcomer(2_300)).to.equal(undefined);
  });

  it('learns that requests wait longer than predicted, and forgets it', () => {
    expect(refuseNewcomer(1_000)).to.equal(undefined);
    for (let count = 0; count < 20; count += 1)
      refusal.recordWait(arrive(), 500, 4_000, true);
    expect(refuseNewcomer(1_000)).to.be.above(0);
    clock.tick(30_000);
    expect(refuseNewcomer(1_000)).to.equal(undefined);
  });

  it('refuses what is queued only if hopeless, and not when half its time is over', () => {
    expectedMilliseconds = 4_000;
    expect(refuseQueued(0)).to.equal(undefined);
    expectedMilliseconds = 6_000;
    expect(refuseQueued(0)).to.be.above(0);
    clock.tick(1_300);
    expect(refuseQueued(1_300)).to.equal(undefined);
  });

  it('lets requests wait while nothing was measured', () => {
    expectedMilliseconds = undefined;
    expect(refuseQueued(0)).to.equal(undefined);
  });
});
