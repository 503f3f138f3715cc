import type {FleetProgress} from '../../fleet/fleet_progress.js';
import type {FleetUpstream} from '../../fleet/fleet_upstream.js';

import {Cancellation, ErrorKind, Ran} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {DemandCounter} from '../../fleet/demand_counter.js';
import {NoChoice} from '../../fleet/fleet_choice.js';
import {PlaceQueue} from '../../fleet/place_queue.js';
import {testRequest, testUpstream} from './proxy_fixtures.js';

describe('queue of a node that stops', () => {
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

  function enter() {
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

  it('refuses truthfully what still waits', async () => {
    const waiting = enter();
    await clock.tickAsync(500);
    queue.close();
    const result = await waiting;
    expect(result.err && result.val.kind).to.equal(ErrorKind.NOT_READY);
    expect(result.err && result.val.ran).to.equal(Ran.NO);
    expect(result.err && result.val.retryAfterMilliseconds).to.equal(100);
  });

  it('refuses at once what finds no place, and serves what does', async () => {
    queue.close();
    const refused = await enter();
    expect(refused.err && refused.val.kind).to.equal(ErrorKind.NOT_READY);
    upstream = testUpstream('one', ['m']);
    expect((await enter()).ok).to.equal(true);
  });
});
