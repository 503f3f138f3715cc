/**
 * Guards against callers who pay for the load of others. Loads: a team at six
 * times its usual load beside fifteen others, deferred streams that arrive in a
 * burst beside urgent ones, and urgent streams that take all slots for long.
 */
import type {RequestTeam} from '../../proxy/routed_request.js';
import type {CallerResult} from './queue_cluster.js';
import type {Arrivals} from './queue_load.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ServiceOrder} from '../../proxy/queue/service_order.js';
import {Standing} from '../../proxy/queue/queue_position.js';
import {createProgress} from './queue_cluster.js';
import {
  capacityPerSecond,
  DEFERRED,
  isOnTime,
  isServed,
  playQueueLoad,
  shareOf,
  SHORT,
  URGENT,
} from './queue_load.js';

const FOUR_ENGINES = {
  slots: 12,
  meanHoldMilliseconds: 900,
  heldModels: [['m'], ['m'], ['m'], ['m']],
};
const CAPACITY = capacityPerSecond(FOUR_ENGINES);
const LARGE_TEAM = 'team-0';

function createTeam(index: number): RequestTeam {
  return {
    name: `team-${index}`,
    priority: undefined,
    keyDigest: new Uint8Array(),
  };
}

/** Streams of one route, as a share of what the engines can serve. */
function arrive(
  route: typeof URGENT,
  loadShare: number,
  changes: Partial<Arrivals> & {team?: RequestTeam} = {},
): Arrivals {
  const {team, ...times} = changes;
  return {
    caller: {
      route,
      team,
      model: 'm',
      deadlineMilliseconds: route.callerTimeoutMilliseconds,
    },
    perSecond: CAPACITY * loadShare,
    fromSecond: 0,
    toSecond: 20,
    ...times,
  };
}

function play(nodes: number, arrivals: readonly Arrivals[]) {
  return playQueueLoad({
    ...FOUR_ENGINES,
    nodes,
    arrivals,
    seed: 'service order',
    hasEarlyRefusal: true,
    createOrder: () => new ServiceOrder({hasSeveralClasses: () => true}),
  });
}

/** Whether it was served before the load of 20 s ended. */
function isServedDuringLoad(result: CallerResult): boolean {
  const {arrivedAt, slotAfterMilliseconds = Infinity} = result;
  return isServed(result) && arrivedAt + slotAfterMilliseconds <= 20_000;
}

function ofRoute(results: readonly CallerResult[], route: typeof URGENT) {
  return results.filter(result => result.route === route);
}

describe('order of service', () => {
  for (const nodes of [1, 4]) {
    it(`a team that bursts bears the cost itself: ${nodes} nodes`, async () => {
      const others = Array.from({length: 15}, (_, index) =>
        arrive(URGENT, 0.6 / 15, {team: createTeam(index + 1)}),
      );
      const large = arrive(URGENT, 6 * 0.2, {
        team: createTeam(0),
        fromSecond: 5,
        toSecond: 15,
      });
      const results = await play(nodes, [...others, large]);
      const ofLarge = results.filter(({team}) => team === LARGE_TEAM);
      const ofOthers = results.filter(({team}) => team !== LARGE_TEAM);
      expect(shareOf(ofOthers, isOnTime)).to.be.above(0.95);
      expect(shareOf(ofOthers, isServed)).to.be.above(0.98);
      // What the others leave: 0.4 of the capacity, of 1.2.
      expect(shareOf(ofLarge, isServed)).to.be.above(0.3);
    }).timeout(20_000);

    it(`urgent streams go before a burst of deferred ones: ${nodes} nodes`, async () => {
      const results = await play(nodes, [
        arrive(URGENT, 0.6),
        arrive(DEFERRED, 2, {fromSecond: 5, toSecond: 10}),
      ]);
      const urgent = ofRoute(results, URGENT);
      const deferred = ofRoute(results, DEFERRED);
      expect(shareOf(urgent, isServed)).to.be.above(0.97);
      expect(shareOf(urgent, isServed)).to.be.above(
        shareOf(deferred, isServed) - 0.05,
      );
      expect(shareOf(deferred, isServed)).to.be.above(0.4);
    }).timeout(20_000);

    it(`deferred streams are not starved by urgent ones: ${nodes} nodes`, async () => {
      const results = await play(nodes, [
        arrive(URGENT, 2),
        arrive(DEFERRED, 0.3),
      ]);
      const served = shareOf(results, isServedDuringLoad);
      const deferred = shareOf(ofRoute(results, DEFERRED), isServedDuringLoad);
      const urgent = shareOf(ofRoute(results, URGENT), isServedDuringLoad);
      expect(deferred).to.be.above(0.25 * served);
      expect(deferred).to.be.below(urgent + 0.05);
    }).timeout(20_000);
  }

  it('serves what can meet its objective while there is too little capacity', async () => {
    const results = await play(1, [arrive(URGENT, 1), arrive(SHORT, 0.4)]);
    expect(shareOf(results, isOnTime)).to.be.above(0.6);
  }).timeout(20_000);
});

describe('order of service without teams and priorities', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('stays by deadline, whatever was served or refused', () => {
    const order = new ServiceOrder({hasSeveralClasses: () => false});
    const queued = [1, 2, 3, 4].map(second => {
      const caller = {
        route: second % 2 === 0 ? SHORT : URGENT,
        model: `m${second}`,
        deadlineMilliseconds: 1_000 * second,
        holdMilliseconds: 0,
      };
      return {progress: createProgress(caller, 1_000 * second)};
    });
    for (const {progress} of queued) {
      order.recordServed(progress, true);
      order.recordRefused(progress);
    }
    clock.tick(700);
    expect(order.arrange(queued)).to.deep.equal(queued);
  });

  it('favours no request, whatever was refused', () => {
    const order = new ServiceOrder({hasSeveralClasses: () => false});
    const [urgent, deferred] = [URGENT, DEFERRED].map(route => {
      const caller = {route, deadlineMilliseconds: 1_000, holdMilliseconds: 0};
      return createProgress(caller, 1_000);
    });
    for (let count = 0; count < 5; count += 1) {
      order.recordServed(urgent, true);
      order.recordRefused(deferred);
    }
    expect(order.standingOf(deferred)).to.equal(Standing.USUAL);
  });
});
