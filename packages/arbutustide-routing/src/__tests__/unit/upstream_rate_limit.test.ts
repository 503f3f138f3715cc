/**
 * Guards against requests to an upstream with a rate limit that have no token:
 * first attempts, retries and resumed streams, also after its entry in the
 * platform's list was missing, and against a limit that outlives its upstream.
 */
import type {TokenResponse} from '../../proxy/rate_limit/token_issuer.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ProxyUpstreamDirectory} from '../../proxy/proxy_upstream_directory.js';
import {TokenIssuer} from '../../proxy/rate_limit/token_issuer.js';
import {RequestKind} from '../../proxy/route.js';
import {testDescription, testUpstream} from './proxy_fixtures.js';
import {
  createDispatcher,
  createRequest,
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

/** A token that is valid at once. */
function grantToken(): TokenResponse {
  return {
    observation: {requestsPerSecond: 1, atMilliseconds: performance.now()},
    isIssued: true,
    waitMilliseconds: 0,
    intervalMilliseconds: 1_000,
  };
}

describe('upstream with a rate limit', () => {
  let clock: ReturnType<typeof install>;
  let upstreams: ProxyUpstream[];

  beforeEach(() => {
    clock = install();
    upstreams = [testUpstream('one', ['m']), testUpstream('two', ['m'])];
  });
  afterEach(() => clock.uninstall());

  function dispatch(kind: RequestKind, ...scripts: AttemptScript[]) {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
    );
    const result = dispatcher.dispatch(
      createRequest(kind, kind === RequestKind.STREAM),
    );
    return {result, connector};
  }

  function limit({rateLimit}: ProxyUpstream): void {
    const atMilliseconds = performance.now();
    rateLimit.record({requestsPerSecond: 1, atMilliseconds});
  }

  const whole: AttemptScript = () => respondWith({}, ['whole']);

  it('gets no attempt without a token, neither the first nor a retry', async () => {
    limit(upstreams[0]);
    for (let count = 0; count < 5; count += 1) {
      const {connector, result} = dispatch(RequestKind.IDEMPOTENT, whole);
      expect((await result).ok).to.equal(true);
      expect(connector.upstreamIds).to.eql(['two']);
    }
    const {connector, result} = dispatch(RequestKind.IDEMPOTENT, () =>
      respondWith({status: 503, isNotRun: true}),
    );
    await clock.tickAsync(6_000);
    expect((await result).ok).to.equal(false);
    expect(connector.upstreamIds).to.eql(['two']);
  });

  it('gets no resumed stream without a token', async () => {
    limit(upstreams[0]);
    const {connector, result} = dispatch(RequestKind.STREAM, () =>
      respondWithEvents([1, 2], false),
    );
    const answer = readAnswer(await result);
    await clock.tickAsync(6_000);
    await answer;
    expect(connector.upstreamIds).to.eql(['two']);
  });

  it('gets one request for a token, and none once the token is too old', async () => {
    upstreams = [upstreams[0]];
    const [{rateLimit}] = upstreams;
    limit(upstreams[0]);
    rateLimit.recordTokenResponse(grantToken());
    const first = dispatch(RequestKind.IDEMPOTENT, () =>
      respondWith({requestsPerSecond: 1}, ['whole']),
    );
    expect((await first.result).ok).to.equal(true);
    expect(rateLimit.allowsRequest).to.equal(false);
    rateLimit.recordTokenResponse(grantToken());
    expect(rateLimit.allowsRequest).to.equal(true);
    await clock.tickAsync(501);
    expect(rateLimit.allowsRequest).to.equal(false);
  });

  it('makes requests wait for a token that comes in time, and refuses the others at once', async () => {
    upstreams = [upstreams[0]];
    const [{rateLimit}] = upstreams;
    limit(upstreams[0]);
    rateLimit.recordTokenResponse({...grantToken(), waitMilliseconds: 700});
    const connector = new ScriptedConnector([whole]);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
    );
    void dispatcher.dispatch(createRequest(RequestKind.IDEMPOTENT));
    const refused = await dispatcher.dispatch(
      createRequest(RequestKind.IDEMPOTENT),
    );
    expect(refused.err && refused.val.kind).to.equal(
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(refused.err && refused.val.ran).to.equal(
      ExecutionStatus.NOT_EXECUTED,
    );
    expect(refused.err && refused.val.retryAfterMilliseconds).to.equal(1_700);
    expect(connector.upstreamIds).to.eql([]);
  });

  it('keeps its limit when its entry was missing for a while', () => {
    const directory = new ProxyUpstreamDirectory();
    const description = testDescription({id: 'one', startedAt: 5});
    directory.upsert(description);
    const known = directory.get('one');
    if (known) limit(known);
    known?.recordBackOff(60_000);
    directory.remove('one');
    directory.upsert(description);
    const listedAgain = directory.get('one');
    expect(listedAgain?.rateLimit.allowsRequest).to.equal(false);
    expect(listedAgain?.remainingBackOffMilliseconds).to.equal(60_000);
    directory.remove('one');
    directory.upsert({...description, startedAt: 6});
    expect(directory.get('one')?.rateLimit.allowsRequest).to.equal(true);
    expect(directory.get('one')?.remainingBackOffMilliseconds).to.equal(0);
  });

  it('loses its limit by an answer to a later request only', () => {
    const [{rateLimit}] = upstreams;
    const unlimited = {requestsPerSecond: undefined};
    rateLimit.record({requestsPerSecond: 2, atMilliseconds: 100});
    rateLimit.record({...unlimited, atMilliseconds: 90});
    expect(rateLimit.observation.requestsPerSecond).to.equal(2);
    rateLimit.record({...unlimited, atMilliseconds: 110});
    expect(rateLimit.isLimited).to.equal(false);
    rateLimit.record({requestsPerSecond: 3, atMilliseconds: 105});
    expect(rateLimit.isLimited).to.equal(false);
  });

  it('is learned from an answer, and forgotten after one that names none', async () => {
    upstreams = [upstreams[0]];
    const [{rateLimit}] = upstreams;
    const limited: AttemptScript = () =>
      respondWith({requestsPerSecond: 4.2}, ['whole']);
    await dispatch(RequestKind.IDEMPOTENT, limited).result;
    expect(rateLimit.observation.requestsPerSecond).to.equal(4.2);
    await clock.tickAsync(100);
    rateLimit.recordTokenResponse({
      ...grantToken(),
      observation: rateLimit.observation,
    });
    // Another process answers at its address, so this is not its word.
    await dispatch(RequestKind.NON_IDEMPOTENT, () =>
      respondWith({status: 421, isOtherInstance: true, isSigned: false}),
    ).result;
    expect(rateLimit.isLimited).to.equal(true);
    // The model counts as missing for a while.
    await clock.tickAsync(3_001);
    rateLimit.recordTokenResponse({
      ...grantToken(),
      observation: rateLimit.observation,
    });
    // A rejection tells nothing of it.
    const rejected: AttemptScript = () =>
      respondWith({status: 503, isNotRun: true});
    const refused = dispatch(RequestKind.NON_IDEMPOTENT, rejected).result;
    await clock.tickAsync(5_001);
    await refused;
    expect(rateLimit.isLimited).to.equal(true);
    rateLimit.recordTokenResponse({
      ...grantToken(),
      observation: rateLimit.observation,
    });
    await dispatch(RequestKind.IDEMPOTENT, whole).result;
    expect(rateLimit.isLimited).to.equal(false);
  });

  it('has one issuer state for each process', async () => {
    const issuer = new TokenIssuer(() => 1);
    const observation = {requestsPerSecond: 1, atMilliseconds: 1};
    const request = (startedAt: number) =>
      issuer.handle({
        node: 'node',
        process: {id: 'one', startedAt},
        observation,
        wantsToken: true,
      });
    request(1);
    await clock.tickAsync(60_000);
    expect(request(1)).to.include({isIssued: true, waitMilliseconds: 0});
    expect(request(2).waitMilliseconds).to.equal(1_000);
    expect(request(1).isIssued).to.equal(false);
    expect([...issuer.limits()]).to.have.length(1);
  });
});
