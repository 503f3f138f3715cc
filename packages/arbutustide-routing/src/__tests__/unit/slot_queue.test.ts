// Guards against requests that are left in the queue of a node that stops: their
// callers would see a broken connection instead of a refusal that permits a
// retry.
import type {FleetProgress} from '../../fleet/fleet_progress.js';
import type {FleetUpstream} from '../../fleet/fleet_upstream.js';

import {Cancellation, ErrorKind, Ran} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {DemandCounter} from '../../fleet/demand_counter.js';
import {NoChoice} from '../../fleet/fleet_choice.js';
import {PlaceQueue} from '../../fleet/place_queue.js';
import {testRequest, testUpstream} from './proxy_fixtures.js';

describe('slot queue of a stopping node', () => {
  let clock: ReturnType<typeof install>;
  let upstream: FleetUpstream | undefined;
  let queue: PlaceQueue;

  beforeEach(() => {
    clock = install();
    upstream = undefined;
    queue = new PlaceQueue({
      choose: () => upstream ?? NoChoice.NOT_HELD,
      predictWait: () => 0,
      serviceMilliseconds: () => 20,
      onNotHeld: () => {},
      observer: new DemandCounter(),
    });
  });
  afterEach(() => clock.uninstall());

  function enterQueue() {
    const progress: FleetProgress = {
      request: testRequest(),
      cancellation: new Cancellation(),
      fingerprint: 'fingerprint',
      tried: new Set(),
      attempts: 0,
      mayHaveRun: false,
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
    expect(result.err && result.val.ran).to.equal(Ran.NO);
    expect(result.err && result.val.retryAfterMilliseconds).to.equal(100);
  });

  it('refuses requests that get no slot at once, and serves others', async () => {
    queue.close();
    const refused = await enterQueue();
    expect(refused.err && refused.val.kind).to.equal(ErrorKind.NOT_READY);
    upstream = testUpstream('one', ['m']);
    expect((await enterQueue()).ok).to.equal(true);
  });
});
