/**
 * Guards against deferred requests at idle nodes that take the slots for which
 * urgent ones wait elsewhere. Load: 91 nodes with one request each, half of
 * them urgent, for the one slot of an upstream.
 */
import type {CallerResult} from './queue_cluster.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {HoldBack} from '../../proxy/queue/hold_back.js';
import {QueueCluster, createProgress} from './queue_cluster.js';
import {DEFERRED, isServed, shareOf, URGENT} from './queue_load.js';
import {testModelRequest, testUpstream} from './proxy_fixtures.js';

const NODES = 91;
const HOLD_MILLISECONDS = 100;

describe('slot for which requests wait at many nodes', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  /** What callers get of an upstream that is busy when they arrive. */
  async function play(hasHoldBack: boolean): Promise<CallerResult[]> {
    const random = seedrandom('hold back');
    const cluster = new QueueCluster({
      nodes: NODES + 1,
      slots: 1,
      heldModels: [['m']],
      random,
      hasEarlyRefusal: true,
      hasHoldBack,
    });
    const common = {model: 'm', deadlineMilliseconds: 30_000};
    void cluster.call({
      ...common,
      route: URGENT,
      node: NODES,
      holdMilliseconds: 1_500,
    });
    await clock.tickAsync(750);
    for (let node = 0; node < NODES; node += 1) {
      void cluster.call({
        ...common,
        route: node % 2 === 0 ? URGENT : DEFERRED,
        node,
        holdMilliseconds: HOLD_MILLISECONDS,
      });
    }
    await clock.tickAsync(30_000);
    return cluster.results.filter(({arrivedAt}) => arrivedAt > 0);
  }

  /** Part of the pairs of an urgent and a deferred request in that order. */
  function urgentFirstShare(results: readonly CallerResult[]): number {
    let deferredBefore = 0;
    let inversions = 0;
    let urgentCount = 0;
    for (const {route} of results) {
      if (route === DEFERRED) deferredBefore += 1;
      else {
        inversions += deferredBefore;
        urgentCount += 1;
      }
    }
    return 1 - inversions / (urgentCount * deferredBefore);
  }

  it('is taken by the urgent requests first, and by all in the end', async () => {
    const results = await play(true);
    expect(shareOf(results, isServed)).to.equal(1);
    expect(urgentFirstShare(results)).to.be.above(0.95);
    const without = urgentFirstShare(await play(false));
    expect(without).to.be.below(0.7);
  }).timeout(20_000);
});

describe('request held back for more urgent ones elsewhere', () => {
  let clock: ReturnType<typeof install>;
  let urgentElsewhere: number;
  let isFavoured: boolean;
  let isEnabled: boolean;
  let holdBack: HoldBack;
  const upstream = testUpstream('one', ['m'], {slots: 4});

  beforeEach(() => {
    clock = install();
    urgentElsewhere = 3;
    isFavoured = false;
    isEnabled = true;
    upstream.peersInFlight = 2;
    holdBack = new HoldBack({
      peerDemand: () => ({queuedByPriority: [0, urgentElsewhere, 5]}),
      isEnabled: () => isEnabled,
      isFavoured: () => isFavoured,
    });
  });
  afterEach(() => clock.uninstall());

  function withholds(route = DEFERRED, tried = false) {
    const caller = {
      route,
      model: 'm',
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    };
    const progress = createProgress(caller, performance.now() + 5_000);
    if (tried) progress.triedUpstreams.add(upstream);
    return holdBack.withholds(progress, [upstream], 1);
  }

  it('waits for a moment only, and again when another slot comes free', async () => {
    expect(withholds()).to.equal(true);
    clock.tick(100);
    expect(withholds()).to.equal(true);
    clock.tick(100);
    expect(withholds()).to.equal(false);
    clock.tick(500);
    expect(withholds()).to.equal(true);
  });

  // Otherwise its time would begin again whenever the other one looks.
  it('takes a slot in the end while retries or other adapters find none', () => {
    const caller = {
      route: DEFERRED,
      model: 'm',
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    };
    const retry = createProgress(caller, performance.now() + 5_000);
    retry.triedUpstreams.add(upstream);
    const common = createProgress(caller, performance.now() + 5_000);
    const request = {
      ...common.request,
      modelRequest: {...testModelRequest('m'), adapter: 'a'},
    };
    expect(withholds()).to.equal(true);
    for (let count = 0; count < 4; count += 1) {
      clock.tick(50);
      holdBack.recordFull(retry);
      holdBack.recordFull({...common, request});
    }
    expect(withholds()).to.equal(false);
  });

  it('takes a slot at once if there are enough, or none more urgent waits', () => {
    expect(withholds(URGENT)).to.equal(false);
    urgentElsewhere = 1;
    expect(withholds()).to.equal(false);
    urgentElsewhere = 0;
    upstream.peersInFlight = 3;
    expect(withholds()).to.equal(false);
  });

  it('takes a slot at once if it is starved, or a retry', () => {
    expect(withholds(DEFERRED, true)).to.equal(false);
    isFavoured = true;
    expect(withholds()).to.equal(false);
  });

  // Such deployments have no requests that are more urgent.
  it('takes a slot at once if callers do not differ in team or priority', () => {
    isEnabled = false;
    expect(withholds()).to.equal(false);
  });

  // A slot that the peers take to be in use would stay unused meanwhile.
  it('takes the slot that this node returned until the peers know of it', () => {
    upstream.peersInFlight = 3;
    holdBack.recordReturned(upstream);
    expect(withholds()).to.equal(false);
    clock.tick(800);
    expect(withholds()).to.equal(true);
  });
});
