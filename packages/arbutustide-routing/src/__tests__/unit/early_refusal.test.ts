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
import {Standing} from '../../proxy/queue/queue_position.js';
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
  const position = {
    standing: Standing.USUAL,
    ahead: 0,
    aheadShareInPriority: 0.5,
  };

  beforeEach(() => {
    clock = install();
    refusal = new EarlyRefusal({
      expectedWaitMilliseconds: () => expectedMilliseconds,
      random: () => 1,
    });
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

  function describeRequest(waiting: RoutedRequestProgress) {
    return {progress: waiting, position, neededMilliseconds: 0};
  }

  /** The retry-after of a newcomer; undefined if it may wait. */
  function refuseNewcomer(expected: number | undefined) {
    expectedMilliseconds = expected;
    const prospect = refusal.beginWait(describeRequest(arrive()));
    return prospect.ok ? undefined : prospect.val;
  }

  /** Whether a request that was queued is refused after this time. */
  function isQueuedRefused(waited: number, expectedThen: number | undefined) {
    expectedMilliseconds = 0;
    const waiting = describeRequest(arrive());
    const prospect = refusal.beginWait(waiting).unwrap();
    clock.tick(waited);
    expectedMilliseconds = expectedThen;
    return refusal.reassess(prospect, waiting, waited) !== undefined;
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
    expectedMilliseconds = 500;
    const prospects = Array.from({length: 20}, () =>
      refusal.beginWait(describeRequest(arrive())).unwrap(),
    );
    clock.tick(4_000);
    for (const prospect of prospects) refusal.endWait(prospect, true);
    expect(refuseNewcomer(1_000)).to.be.above(0);
    clock.tick(30_000);
    expect(refuseNewcomer(1_000)).to.equal(undefined);
  });

  // The ratio of any wait to a prediction of 0 would raise all predictions.
  it('learns nothing from a request that was to get a slot at once', () => {
    expectedMilliseconds = 0;
    const prospect = refusal.beginWait(describeRequest(arrive())).unwrap();
    clock.tick(4_000);
    for (let count = 0; count < 20; count += 1) refusal.endWait(prospect, true);
    expect(refuseNewcomer(2_000)).to.equal(undefined);
  });

  // Such a request has had no prediction yet, but its caller has waited.
  it('refuses a queued request at its first prediction only in the first half', () => {
    expectedMilliseconds = 6_000;
    const waiting = describeRequest(arrive());
    clock.tick(100);
    expect(refusal.beginWait(waiting, 100).ok).to.equal(false);
    clock.tick(1_200);
    expect(refusal.beginWait(waiting, 1_300).ok).to.equal(true);
  });

  it('refuses what is queued only if hopeless, and not when half its time is over', () => {
    expect(isQueuedRefused(100, 2_600)).to.equal(false);
    expect(isQueuedRefused(100, 3_200)).to.equal(true);
    expect(isQueuedRefused(1_300, 6_000)).to.equal(false);
  });

  it('lets requests wait while nothing was measured', () => {
    expect(refuseNewcomer(undefined)).to.equal(undefined);
    expect(isQueuedRefused(100, undefined)).to.equal(false);
  });
});
