/**
 * Guards against estimates that call a request short because others of its
 * service, or those that were cut, are.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RequestKind} from '../../proxy/route.js';
import {HoldTimeDistributions} from '../../proxy/queue/hold_time_distributions.js';
import {testModelRequest, testRequest, testRoute} from './proxy_fixtures.js';

const ENOUGH_SAMPLES = 99;
const SHORT_MILLISECONDS = 500;
const LONG_MILLISECONDS = 6_000;
/** Times are measured to one figure. */
const TOLERANCE = 0.07;
const HOUR_MILLISECONDS = 3_600_000;

describe('longest time that a request holds a slot', () => {
  let clock: ReturnType<typeof install>;
  let times: HoldTimeDistributions;

  beforeEach(() => {
    clock = install();
    times = new HoldTimeDistributions();
  });
  afterEach(() => clock.uninstall());

  const requestOf = (name: string, model?: string) =>
    testRequest({
      route: testRoute({name, kind: RequestKind.NON_IDEMPOTENT}),
      modelRequest: model === undefined ? undefined : testModelRequest(model),
    });

  function record(
    request: ReturnType<typeof requestOf>,
    milliseconds: number,
    count: number,
    isWhole = true,
  ): void {
    for (let sample = 0; sample < count; sample += 1)
      times.record(request, milliseconds, isWhole);
  }

  function expectAbout(actual: number | undefined, expected: number): void {
    expect(actual).to.be.within(expected, expected * (1 + TOLERANCE));
  }

  it('is that of its route, not of the busiest one of the service', () => {
    record(requestOf('busy'), SHORT_MILLISECONDS, 10 * ENOUGH_SAMPLES);
    record(requestOf('rare'), LONG_MILLISECONDS, ENOUGH_SAMPLES);
    const longest = (name: string) =>
      times.longestMilliseconds(requestOf(name));
    expectAbout(longest('busy'), SHORT_MILLISECONDS);
    expectAbout(longest('rare'), LONG_MILLISECONDS);
  });

  it('is exceeded by one request in a hundred at most', () => {
    const request = requestOf('route');
    record(request, SHORT_MILLISECONDS, 98);
    record(request, LONG_MILLISECONDS, 2);
    expectAbout(times.longestMilliseconds(request), LONG_MILLISECONDS);
  });

  it('is exceeded by one in ten if a cut costs its caller only time', () => {
    const route = testRoute({name: 'route', kind: RequestKind.IDEMPOTENT});
    const request = testRequest({route, modelRequest: undefined});
    record(request, SHORT_MILLISECONDS, 8);
    expect(times.longestMilliseconds(request)).to.equal(undefined);
    record(request, SHORT_MILLISECONDS, 83);
    record(request, LONG_MILLISECONDS, 9);
    expectAbout(times.longestMilliseconds(request), SHORT_MILLISECONDS);
    record(request, LONG_MILLISECONDS, 3);
    expectAbout(times.longestMilliseconds(request), LONG_MILLISECONDS);
  });

  it('is unknown while too few were measured to bound the next', () => {
    const request = requestOf('route');
    record(request, SHORT_MILLISECONDS, ENOUGH_SAMPLES - 1);
    expect(times.longestMilliseconds(request)).to.equal(undefined);
    record(request, SHORT_MILLISECONDS, 1);
    expect(times.longestMilliseconds(request)).not.to.equal(undefined);
  });

  it('is that of the route, or the longest of a model that is rare', () => {
    record(requestOf('route', 'busy'), SHORT_MILLISECONDS, ENOUGH_SAMPLES);
    const longest = (model: string) =>
      times.longestMilliseconds(requestOf('route', model));
    expectAbout(longest('rare'), SHORT_MILLISECONDS);
    record(requestOf('route', 'rare'), LONG_MILLISECONDS, 1);
    expectAbout(longest('rare'), LONG_MILLISECONDS);
    expectAbout(longest('busy'), SHORT_MILLISECONDS);
  });

  it('does not shrink by requests that were cut or given up', () => {
    const request = requestOf('route');
    record(request, SHORT_MILLISECONDS, ENOUGH_SAMPLES, false);
    expect(times.longestMilliseconds(request)).to.equal(undefined);
    record(request, LONG_MILLISECONDS, ENOUGH_SAMPLES);
    record(request, SHORT_MILLISECONDS, 100 * ENOUGH_SAMPLES, false);
    expectAbout(times.longestMilliseconds(request), LONG_MILLISECONDS);
  });

  it('grows by requests that were cut after a longer time', () => {
    const request = requestOf('route');
    record(request, SHORT_MILLISECONDS, ENOUGH_SAMPLES);
    record(request, LONG_MILLISECONDS, 2, false);
    expectAbout(times.longestMilliseconds(request), LONG_MILLISECONDS);
  });

  it('is not that of the rests of streams that were resumed', () => {
    const resumed = {...requestOf('route'), lastEventId: 5};
    record(resumed, SHORT_MILLISECONDS, ENOUGH_SAMPLES);
    expect(times.longestMilliseconds(resumed)).to.equal(undefined);
  });

  it('forgets old times', () => {
    const request = requestOf('route');
    record(request, LONG_MILLISECONDS, ENOUGH_SAMPLES);
    clock.tick(HOUR_MILLISECONDS);
    expect(times.longestMilliseconds(request)).to.equal(undefined);
    record(request, SHORT_MILLISECONDS, ENOUGH_SAMPLES);
    expectAbout(times.longestMilliseconds(request), SHORT_MILLISECONDS);
  });

  it('is likely to be that of half, or of nine in ten that may be repeated', () => {
    const single = requestOf('route');
    const repeatable = {
      ...single,
      route: testRoute({name: 'route', kind: RequestKind.IDEMPOTENT}),
    };
    record(single, SHORT_MILLISECONDS, 6);
    record(single, LONG_MILLISECONDS, 4);
    expectAbout(times.likelyMilliseconds(single), SHORT_MILLISECONDS);
    expectAbout(times.likelyMilliseconds(repeatable), LONG_MILLISECONDS);
  });

  it('is likely to be the longest of few, and not known of none', () => {
    const request = requestOf('route', 'rare');
    expect(times.likelyMilliseconds(request)).to.equal(undefined);
    record(request, SHORT_MILLISECONDS, 2);
    record(request, LONG_MILLISECONDS, 1);
    expectAbout(times.likelyMilliseconds(request), LONG_MILLISECONDS);
  });

  it('is measured for a bounded number of kinds', () => {
    for (let model = 0; model < 1_000; model += 1)
      record(requestOf('route', `model-${model}`), SHORT_MILLISECONDS, 1);
    expect(times.kindCount).to.be.most(200);
  });
});
