// Guards against requests that are left in the queue of a node that stops: their
// callers would see a broken connection instead of a refusal that permits a
// retry.
import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import {
  Cancellation,
  createStoppingRefusal,
  ErrorKind,
  ExecutionStatus,
} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {DemandCounter} from '../../proxy/demand_counter.js';
import {NoUpstreamReason} from '../../proxy/choose_upstream.js';
import {EarlyRefusal} from '../../proxy/queue/early_refusal.js';
import {hasEarlierRequest} from '../../proxy/queue/queue_order.js';
import {ServiceOrder} from '../../proxy/queue/service_order.js';
import {SlotQueue} from '../../proxy/slot_queue.js';
import {
  testModelRequest,
  testRequest,
  testRoute,
  testUpstream,
} from './proxy_fixtures.js';
import {createProgress} from './queue_cluster.js';

const PREDICTED_WAIT_MILLISECONDS = 50;

describe('slot queue of a stopping node', () => {
  let clock: ReturnType<typeof install>;
  let upstream: ProxyUpstream | undefined;
  let queue: SlotQueue;
  let waitsInTime: number;

  beforeEach(() => {
    clock = install();
    upstream = undefined;
    waitsInTime = Infinity;
    queue = new SlotQueue({
      chooseUpstream: () => upstream ?? NoUpstreamReason.NOT_HELD,
      predictWaitMilliseconds: () => PREDICTED_WAIT_MILLISECONDS,
      minimumServiceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
      refuseLate: (_, waitMilliseconds) =>
        waitMilliseconds <= waitsInTime ? undefined : createStoppingRefusal(),
    });
  });
  afterEach(() => clock.uninstall());

  function enterQueue() {
    const progress: RoutedRequestProgress = {
      request: testRequest(),
      cancellation: new Cancellation(),
      fingerprint: 'fingerprint',
      triedUpstreams: new Set(),
      triedPeers: new Set(),
      isRelayed: false,
      attempts: 0,
      mayHaveRun: false,
      hasStreamBegun: false,
      isAnsweredWhole: false,
      origin: undefined,
      lastDeliveryAtMilliseconds: performance.now(),
    };
    return queue.acquireSlot(progress);
  }

  it('refuses queued requests and reports that they did not run', async () => {
    const waiting = enterQueue();
    await clock.tickAsync(500);
    queue.close();
    const result = await waiting;
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(result.err && result.val.retryAfterMilliseconds).to.equal(100);
  });

  it('refuses requests that get no slot at once, and serves others', async () => {
    queue.close();
    const refused = await enterQueue();
    expect(refused.err && refused.val.kind).to.equal(ErrorKind.NOT_READY);
    upstream = testUpstream('one', ['m']);
    expect((await enterQueue()).ok).to.equal(true);
  });

  it('refuses a request that could not end even without a wait', async () => {
    waitsInTime = -1;
    upstream = testUpstream('one', ['m']);
    const result = await enterQueue();
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(upstream.ownInFlight).to.equal(0);
  });

  it('refuses a request at once that could not end after its wait', async () => {
    waitsInTime = PREDICTED_WAIT_MILLISECONDS - 1;
    const result = await enterQueue();
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    upstream = testUpstream('one', ['m']);
    expect((await enterQueue()).ok).to.equal(true);
  });
});

// A newcomer that takes a slot which has just come free keeps out requests that
// wait and are more urgent.
describe('slot that comes free while requests wait', () => {
  let clock: ReturnType<typeof install>;
  let upstream: ProxyUpstream;
  let queue: SlotQueue;

  beforeEach(() => {
    clock = install();
    upstream = testUpstream('one', [], {slots: 1});
    queue = new SlotQueue({
      chooseUpstream: ({triedUpstreams}) =>
        upstream.ownInFlight < 1 && !triedUpstreams.has(upstream)
          ? upstream
          : NoUpstreamReason.FULL,
      predictWaitMilliseconds: () => 0,
      minimumServiceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
    });
  });
  afterEach(() => clock.uninstall());

  function enterQueue(priority: number, tried: ProxyUpstream[] = []) {
    const caller = {
      route: testRoute({priority}),
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    };
    const progress = createProgress(caller, performance.now() + 5_000);
    for (const triedUpstream of tried)
      progress.triedUpstreams.add(triedUpstream);
    return queue.acquireSlot(progress);
  }

  it('goes to the more urgent one that waits, not to a newcomer', async () => {
    const served: string[] = [];
    const first = (await enterQueue(1)).unwrap();
    void enterQueue(1).then(() => served.push('urgent'));
    await clock.tickAsync(100);
    first.release();
    void enterQueue(2).then(() => served.push('newcomer'));
    await clock.tickAsync(100);
    expect(served).to.deep.equal(['urgent']);
  });

  it('goes to a newcomer at once if only retries wait that cannot use it', async () => {
    const first = (await enterQueue(1)).unwrap();
    void enterQueue(1, [upstream]);
    await clock.tickAsync(100);
    first.release();
    expect((await enterQueue(2)).ok).to.equal(true);
  });

  it('is not withheld by a retry that cannot use it', async () => {
    const first = (await enterQueue(1)).unwrap();
    void enterQueue(1, [upstream]);
    const waiting = enterQueue(2);
    await clock.tickAsync(100);
    first.release();
    await clock.tickAsync(100);
    expect((await waiting).ok).to.equal(true);
    expect(upstream.ownInFlight).to.equal(1);
  });
});

// Guards against a request that is queued while no upstream holds its model, and
// then waits at full upstreams until its time is over.
describe('queued request whose upstreams turn out to be full', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('is refused at the next scan if its wait is too long', async () => {
    let reason = NoUpstreamReason.NOT_HELD;
    const queue = new SlotQueue({
      chooseUpstream: () => reason,
      predictWaitMilliseconds: () => 0,
      minimumServiceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
      earlyRefusal: new EarlyRefusal({
        expectedWaitMilliseconds: () => 60_000,
        random: () => 0,
      }),
    });
    const caller = {
      route: testRoute(),
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    };
    const progress = createProgress(caller, performance.now() + 5_000);
    const waiting = queue.acquireSlot(progress);
    await clock.tickAsync(100);
    reason = NoUpstreamReason.FULL;
    queue.scheduleScan();
    await clock.tickAsync(10);
    const result = await Promise.race([waiting, Promise.resolve(undefined)]);
    expect(result?.ok).to.equal(false);
  });
});

// Guards against refusals for the sake of requests that have got their slots.
describe('queued request behind one that gets a slot in the same scan', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('is assessed by those that are still before it', async () => {
    const upstream = testUpstream('one', []);
    const ahead: number[] = [];
    let slots = 0;
    const queue = new SlotQueue({
      chooseUpstream: () =>
        upstream.ownInFlight < slots ? upstream : NoUpstreamReason.FULL,
      predictWaitMilliseconds: () => 0,
      minimumServiceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
      earlyRefusal: new EarlyRefusal({
        expectedWaitMilliseconds: (_, position) => {
          ahead.push(position.ahead);
          return 0;
        },
        random: () => 0,
      }),
    });
    const caller = {
      route: testRoute(),
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    };
    for (let count = 0; count < 2; count += 1)
      void queue.acquireSlot(createProgress(caller, performance.now() + 5_000));
    await clock.tickAsync(600);
    slots = 1;
    queue.scheduleScan();
    await clock.tickAsync(10);
    expect(ahead).to.deep.equal([0, 1, 0]);
  });
});

// Guards against newcomers that overtake requests for another adapter, which use
// the same slots, and against newcomers that wait for one that cannot use them.
describe('newcomer beside requests that wait for other adapters', () => {
  const common = createProgress(
    {
      route: testRoute(),
      model: 'm',
      deadlineMilliseconds: 5_000,
      holdMilliseconds: 0,
    },
    5_000,
  );
  const request = {
    ...common.request,
    modelRequest: {...testModelRequest('m'), adapter: 'a'},
  };
  const waiting = {...common, request};

  it('waits only for those whose upstreams were full', () => {
    for (const reason of Object.values(NoUpstreamReason)) {
      const arranged = [{progress: waiting, reason}, {progress: common}];
      expect(hasEarlierRequest(arranged, common)).to.equal(
        reason === NoUpstreamReason.FULL,
      );
    }
  });
});

// Guards against a priority that is favoured because its callers left, or because
// its model is missing, and so not for lack of capacity.
describe('refusal of a request by the slot queue', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  async function countRecorded(
    reason: NoUpstreamReason,
    end: (queue: SlotQueue, progress: RoutedRequestProgress) => void,
  ): Promise<number> {
    const order = new ServiceOrder({hasSeveralClasses: () => true});
    let recorded = 0;
    order.recordRefused = () => {
      recorded += 1;
    };
    const queue = new SlotQueue({
      chooseUpstream: () => reason,
      predictWaitMilliseconds: () => 0,
      minimumServiceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
      order,
    });
    const caller = {
      route: testRoute(),
      deadlineMilliseconds: 1_000,
      holdMilliseconds: 0,
    };
    const progress = createProgress(caller, performance.now() + 1_000);
    const waiting = queue.acquireSlot(progress);
    await clock.tickAsync(100);
    end(queue, progress);
    await clock.tickAsync(2_000);
    expect((await waiting).ok).to.equal(false);
    return recorded;
  }

  it('counts for its priority only if there was no capacity', async () => {
    const {FULL, NOT_HELD} = NoUpstreamReason;
    expect(await countRecorded(FULL, () => {})).to.equal(1);
    expect(await countRecorded(NOT_HELD, () => {})).to.equal(0);
    expect(await countRecorded(FULL, queue => queue.close())).to.equal(0);
    const leave = (_: SlotQueue, {cancellation}: RoutedRequestProgress) =>
      cancellation.cancel('caller left');
    expect(await countRecorded(FULL, leave)).to.equal(0);
  });
});
