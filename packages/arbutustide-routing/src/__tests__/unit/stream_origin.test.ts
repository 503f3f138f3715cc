/**
 * Guards against streams that go on at another software version of their
 * service than the one that began them, and against streams that are refused
 * although they can go on.
 */
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {RoutedRequest} from '../../proxy/routed_request.js';
import type {
  ResolvedOrigin,
  StreamOrigin,
  StreamOrigins,
} from '../../proxy/stream_origin/stream_origin.js';
import type {AttemptScript} from './scripted_connector.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {AnswerEnd} from '../../caller_request.js';
import {RequestKind} from '../../proxy/route.js';
import {RecentVersions} from '../../proxy/stream_origin/recent_versions.js';
import {
  OriginKnowledge,
  resolveOrigin,
  UnknownOriginReason,
} from '../../proxy/stream_origin/stream_origin.js';
import {StreamOriginRegistry} from '../../proxy/stream_origin/stream_origin_registry.js';
import {testUpstream} from './proxy_fixtures.js';
import {
  connectionLostError,
  createDispatcher,
  createRequest,
  eventIdsIn,
  readAnswer,
  respondWith,
  respondWithEvents,
  ScriptedConnector,
} from './scripted_connector.js';

const OLD: StreamOrigin = {service: 'service', softwareVersion: 'v1'};
const UNKNOWN: ResolvedOrigin = {
  knowledge: OriginKnowledge.UNKNOWN,
  reason: UnknownOriginReason.SEVERAL_VERSIONS,
};

function upstreamOf(id: string, softwareVersion: string): ProxyUpstream {
  return testUpstream(id, ['m'], {softwareVersion});
}

/** Origins with a fixed answer; records what it is told. */
class ScriptedOrigins implements StreamOrigins {
  readonly begun: StreamOrigin[] = [];
  completeCount = 0;

  constructor(private readonly resolved: ResolvedOrigin = UNKNOWN) {}

  async resolve(): Promise<ResolvedOrigin> {
    return this.resolved;
  }

  recordBegun(_request: RoutedRequest, origin: StreamOrigin): void {
    this.begun.push(origin);
  }

  recordComplete(): void {
    this.completeCount += 1;
  }
}

describe('origin of a stream', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  async function dispatch(
    upstreams: readonly ProxyUpstream[],
    origins: StreamOrigins,
    scripts: AttemptScript[],
    changes: Partial<RoutedRequest> = {},
  ) {
    const connector = new ScriptedConnector(scripts);
    const dispatcher = createDispatcher(
      connector,
      () => upstreams,
      () => {},
      origins,
    );
    const request = {...createRequest(RequestKind.STREAM, true), ...changes};
    return {result: await dispatcher.dispatch(request), connector};
  }

  const broken: AttemptScript = () => respondWithEvents([1, 2], false);
  const rest: AttemptScript = () => respondWithEvents([3, 4], true);

  it('binds what follows in the same answer to its version', async () => {
    const upstreams = [
      upstreamOf('begins', 'v1'),
      upstreamOf('other', 'v1.1'),
      upstreamOf('same', 'v1'),
    ];
    const origins = new ScriptedOrigins();
    const {result, connector} = await dispatch(upstreams, origins, [
      broken,
      rest,
    ]);
    const {text, end} = await readAnswer(result);
    expect(connector.upstreamIds).to.eql(['begins', 'same']);
    expect(eventIdsIn(text)).to.eql([1, 2, 3, 4]);
    expect(end).to.equal(AnswerEnd.WHOLE);
    expect(origins.begun).to.eql([OLD]);
    expect(origins.completeCount).to.equal(1);
  });

  it('ends the answer visibly where its version has no other upstream', async () => {
    const upstreams = [upstreamOf('begins', 'v1'), upstreamOf('other', 'v1.1')];
    const origins = new ScriptedOrigins();
    const {result, connector} = await dispatch(upstreams, origins, [broken]);
    const {text, end} = await readAnswer(result);
    expect(connector.upstreamIds).to.eql(['begins']);
    expect(eventIdsIn(text)).to.eql([1, 2]);
    expect(end).to.equal(AnswerEnd.BROKEN);
    expect(origins.completeCount).to.equal(0);
  });

  it('is that of the first event, not of an attempt that brought none', async () => {
    const upstreams = [upstreamOf('silent', 'v1'), upstreamOf('other', 'v1.1')];
    const origins = new ScriptedOrigins();
    const {result, connector} = await dispatch(upstreams, origins, [
      () =>
        respondWith({
          isEventStream: true,
          body: (async function* () {
            yield Buffer.from('id: 1\nda');
            throw connectionLostError();
          })(),
        }),
      () => respondWithEvents([1, 2], true),
    ]);
    await readAnswer(result);
    expect(connector.upstreamIds).to.eql(['silent', 'other']);
    expect(origins.begun).to.eql([{...OLD, softwareVersion: 'v1.1'}]);
  });

  it('decides where a stream goes that a caller resumes', async () => {
    const upstreams = [upstreamOf('other', 'v1.1'), upstreamOf('same', 'v1')];
    const known = {knowledge: OriginKnowledge.KNOWN, origin: OLD} as const;
    const {result, connector} = await dispatch(
      upstreams,
      new ScriptedOrigins(known),
      [rest],
      {lastEventId: 2, resumedRequestId: 'first'},
    );
    await readAnswer(result);
    expect(connector.upstreamIds).to.eql(['same']);
  });

  for (const [title, resolved] of [
    ['is not known', UNKNOWN],
    ['has no upstream', {knowledge: OriginKnowledge.KNOWN, origin: OLD}],
  ] as const) {
    it(`refuses a resumed stream at once, as not run, if its version ${title}`, async () => {
      const {result, connector} = await dispatch(
        [upstreamOf('other', 'v1.1')],
        new ScriptedOrigins(resolved),
        [],
        {lastEventId: 2, resumedRequestId: 'first'},
      );
      expect(connector.upstreamIds).to.eql([]);
      expect(result.err && result.val.ran).to.equal(
        ExecutionStatus.NOT_EXECUTED,
      );
      expect(result.err && result.val.kind).to.equal(
        resolved === UNKNOWN
          ? ErrorKind.STREAM_NOT_RESUMABLE
          : ErrorKind.NO_REPLICA,
      );
      if (resolved === UNKNOWN)
        expect(result.err && result.val.message).to.include('several');
    });
  }

  it('is not waited for beyond the deadline', async () => {
    const connector = new ScriptedConnector([]);
    const origins = new ScriptedOrigins();
    origins.resolve = () => new Promise(() => {});
    const dispatcher = createDispatcher(
      connector,
      () => [upstreamOf('one', 'v1')],
      () => {},
      origins,
    );
    const request = createRequest(RequestKind.STREAM, true);
    const pending = dispatcher.dispatch({...request, lastEventId: 2});
    await clock.tickAsync(5_001);
    const result = await pending;
    expect(result.err && result.val.kind).to.equal(
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(result.err && result.val.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
  });

  it('is known without a record only while one version was there', () => {
    const resolve = (...versions: string[]) =>
      resolveOrigin('service', {
        origin: undefined,
        recentVersions: new Set(versions),
        isComplete: true,
      });
    expect(resolve('v1')).to.eql({
      knowledge: OriginKnowledge.KNOWN,
      origin: OLD,
    });
    expect(resolve('v1', 'v1.1')).to.eql(UNKNOWN);
    expect(resolve()).to.eql({knowledge: OriginKnowledge.NO_VERSION});
  });

  it('is not that of the only version seen unless no other is possible', () => {
    for (const versions of [['v1'], []]) {
      const evidence = {
        origin: undefined,
        recentVersions: new Set(versions),
        isComplete: false,
      };
      expect(resolveOrigin('service', evidence)).to.eql({
        knowledge: OriginKnowledge.UNKNOWN,
        reason: UnknownOriginReason.UNCONFIRMED_VERSIONS,
      });
    }
  });

  it('does not fit another service, whose versions may have the same names', () => {
    const evidence = {
      origin: OLD,
      recentVersions: new Set(['v1']),
      isComplete: true,
    };
    expect(resolveOrigin('elsewhere', evidence)).to.eql({
      knowledge: OriginKnowledge.UNKNOWN,
      reason: UnknownOriginReason.OTHER_SERVICE,
    });
  });

  it('counts a version until streams that began there must have ended', async () => {
    const recent = new RecentVersions(() => 30_000);
    expect(recent.update([upstreamOf('one', 'v1')])).to.eql([]);
    await clock.tickAsync(20_000);
    expect(recent.update([upstreamOf('two', 'v1.1')])).to.eql(['service']);
    expect([...recent.versionsOf('service')]).to.eql(['v1', 'v1.1']);
    await clock.tickAsync(10_001);
    expect([...recent.versionsOf('service')]).to.eql(['v1.1']);
  });

  it('is forgotten when its stream must have ended, and bounded in number', async () => {
    const registry = new StreamOriginRegistry(() => 30_000);
    for (let count = 0; count < 30_000; count += 1)
      registry.add({requestId: `stream-${count}`, origin: OLD}, true);
    expect(registry.size).to.be.at.most(20_000);
    expect(registry.find('stream-29999')).to.eql(OLD);
    await clock.tickAsync(30_001);
    expect(registry.find('stream-29999')).to.equal(undefined);
    expect([...registry.ownRecords('service')]).to.eql([]);
    registry.add({requestId: 'next', origin: OLD}, false);
    expect(registry.size).to.equal(1);
    expect([...registry.ownRecords('service')]).to.eql([]);
  });
});
