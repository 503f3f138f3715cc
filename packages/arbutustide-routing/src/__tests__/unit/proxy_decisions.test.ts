// Unit tests of the decisions about one request, without connections: route,
// upstream, retry, event order, retry budget and demand. They guard against
// repeating a request that may have run, and against passing on lost, repeated
// or incomplete events of a resumed stream.
import type {UpstreamResponseHead} from '../../proxy/proxy_connector.js';
import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  AttemptOutcome,
  isRetryAllowed,
  classifyAttemptError,
  classifyResponseHead,
  mayHaveRun,
} from '../../proxy/attempt_outcome.js';
import {chooseUpstream, NoUpstreamReason} from '../../proxy/choose_upstream.js';
import {DemandCounter, modelEntryName} from '../../proxy/demand_counter.js';
import {ClusterRetryBudget} from '../../proxy/cluster_retry_budget.js';
import {UpstreamState} from '../../proxy/proxy_upstream.js';
import {
  EventOrderProblem,
  EventSequencer,
} from '../../proxy/event_sequencer.js';
import {RequestKind} from '../../proxy/route.js';
import {pickTarget, RouteTable} from '../../proxy/route_table.js';
import {
  testModelRequest,
  testRequest,
  testRoute,
  testUpstream,
} from './proxy_fixtures.js';

const CHOICE_SETTINGS = {
  ownFailureDomain: 'near',
  priceShare: 0.1,
  fullShare: 1.5,
  random: () => 0,
};

function createProgress(
  kind: RequestKind,
  changes: Partial<RoutedRequestProgress> = {},
): RoutedRequestProgress {
  return {
    request: testRequest({route: testRoute({kind})}),
    cancellation: new Cancellation(),
    fingerprint: 'fingerprint',
    triedUpstreams: new Set(),
    triedPeers: new Set(),
    isRelayed: false,
    attempts: 1,
    mayHaveRun: false,
    hasStreamBegun: false,
    isAnsweredWhole: false,
    origin: undefined,
    lastDeliveryAtMilliseconds: performance.now(),
    ...changes,
  };
}

function createResponseHead(
  changes: Partial<UpstreamResponseHead>,
): UpstreamResponseHead {
  return {
    status: 200,
    headers: [],
    isNotRun: false,
    isOtherInstance: false,
    isSigned: true,
    isSelfDelimiting: true,
    isEventStream: false,
    isLeaving: false,
    backOffMilliseconds: undefined,
    requestsPerSecond: undefined,
    survivedRejectionsPerSecond: undefined,
    load: undefined,
    body: (async function* () {})(),
    ...changes,
  };
}

describe('route table', () => {
  const routes = [
    testRoute({name: 'short', pathPrefix: '/a/'}),
    testRoute({name: 'long', pathPrefix: '/a/b/'}),
    testRoute({name: 'elsewhere', host: 'other.example', pathPrefix: '/a/b/'}),
  ];
  const table = new RouteTable({
    version: 1,
    routes,
    services: new Map(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    teams: undefined,
  });

  it('matches the longest path prefix of the host', () => {
    expect(table.findRoute('host.example', '/a/b/c')?.name).to.equal('long');
    expect(table.findRoute('HOST.example:80', '/a/c')?.name).to.equal('short');
    expect(table.findRoute('other.example', '/a/b/c')?.name).to.equal(
      'elsewhere',
    );
  });

  it('matches no route for another host or path', () => {
    expect(table.findRoute('host.example', '/b/')).to.equal(undefined);
    expect(table.findRoute('third.example', '/a/')).to.equal(undefined);
  });

  it('splits requests by weight and always maps a request to the same target', () => {
    const split = testRoute({
      targets: [
        {service: 'much', weight: 90},
        {service: 'little', weight: 10},
      ],
    });
    const picks = Array.from({length: 2_000}, (_item, index) =>
      pickTarget(split, `request-${index}`),
    );
    const little = picks.filter(({service}) => service === 'little').length;
    expect(little).to.be.within(140, 260);
    expect(pickTarget(split, 'request-7')).to.equal(picks[7]);
  });
});

describe('choice of an upstream for a request', () => {
  it('excludes upstreams that leave, lack the model or were tried', () => {
    const leaving = testUpstream('leaving', ['model'], {
      state: UpstreamState.LEAVING,
    });
    const lacking = testUpstream('lacking', ['other']);
    const tried = testUpstream('tried', ['model']);
    const choice = chooseUpstream(
      [leaving, lacking, tried],
      {model: 'model', adapter: undefined},
      new Set([tried]),
      CHOICE_SETTINGS,
    );
    expect(choice).to.equal(NoUpstreamReason.NOT_HELD);
  });

  it('prefers its own failure domain up to the cross-domain penalty', () => {
    const near = testUpstream('near');
    const far = testUpstream('far', [], {failureDomain: 'far'});
    expect(
      chooseUpstream([far, near], undefined, new Set(), CHOICE_SETTINGS),
    ).to.equal(near);
    near.ownInFlight = 1;
    expect(
      chooseUpstream([far, near], undefined, new Set(), CHOICE_SETTINGS),
    ).to.equal(far);
  });

  it('reports FULL if all upstreams that hold the model are at capacity', () => {
    const full = testUpstream('full', ['model']);
    full.peersInFlight = 6;
    const wanted = {model: 'model', adapter: undefined};
    expect(chooseUpstream([full], wanted, new Set(), CHOICE_SETTINGS)).to.equal(
      NoUpstreamReason.FULL,
    );
  });
});

describe('outcome of an attempt and retry decision', () => {
  const budget = {tryConsumeRetry: () => true};

  it('classifies an attempt by the head of its answer', () => {
    expect(classifyResponseHead(createResponseHead({}))).to.equal(
      AttemptOutcome.ANSWERED,
    );
    expect(classifyResponseHead(createResponseHead({status: 500}))).to.equal(
      AttemptOutcome.FAILED,
    );
    expect(
      classifyResponseHead(createResponseHead({isSigned: false})),
    ).to.equal(AttemptOutcome.UNKNOWN);
    const refused = createResponseHead({
      status: 503,
      isSigned: false,
      isNotRun: true,
    });
    expect(classifyResponseHead(refused)).to.equal(AttemptOutcome.NOT_RUN);
  });

  it('never retries a non-idempotent request that may have run', () => {
    const progress = createProgress(RequestKind.NON_IDEMPOTENT, {
      mayHaveRun: true,
    });
    for (const outcome of Object.values(AttemptOutcome)) {
      expect(isRetryAllowed(progress, outcome, budget), outcome).to.equal(
        false,
      );
    }
  });

  it('retries a non-idempotent request that provably has not run', () => {
    const progress = createProgress(RequestKind.NON_IDEMPOTENT);
    expect(isRetryAllowed(progress, AttemptOutcome.NOT_RUN, budget)).to.equal(
      true,
    );
  });

  it('does not exceed the attempts of the route or the retry budget', () => {
    const spent = createProgress(RequestKind.IDEMPOTENT, {attempts: 2});
    expect(isRetryAllowed(spent, AttemptOutcome.UNKNOWN, budget)).to.equal(
      false,
    );
    const first = createProgress(RequestKind.IDEMPOTENT);
    const emptyBudget = {tryConsumeRetry: () => false};
    expect(isRetryAllowed(first, AttemptOutcome.UNKNOWN, emptyBudget)).to.equal(
      false,
    );
  });

  it('does not retry after the deadline, also what was never sent', () => {
    const late = createProgress(RequestKind.IDEMPOTENT, {
      request: testRequest({deadlineAtMilliseconds: performance.now() - 1}),
    });
    expect(isRetryAllowed(late, AttemptOutcome.NOT_CONNECTED, budget)).to.equal(
      false,
    );
  });

  it('takes a request that this node did not write for not run', () => {
    const unwritten = new AttemptError(AttemptFailure.NOT_SENT, '');
    expect(mayHaveRun(classifyAttemptError(unwritten))).to.equal(false);
  });

  it('distinguishes a failed connection from a request that was sent', () => {
    const unsent = new AttemptError(AttemptFailure.NOT_CONNECTED, '');
    const sent = new AttemptError(AttemptFailure.CONNECTION_LOST, '');
    expect(classifyAttemptError(unsent)).to.equal(AttemptOutcome.NOT_CONNECTED);
    expect(classifyAttemptError(sent)).to.equal(AttemptOutcome.UNKNOWN);
  });
});

describe('sequencing of events over attempts', () => {
  const event = (id: number) => Buffer.from(`id: ${id}\ndata: x\n\n`);

  it('passes on complete events only, wherever the chunks are split', () => {
    const events = new EventSequencer(undefined);
    const bytes = Buffer.concat([event(1), event(2)]);
    let passedText = '';
    for (const byte of bytes) {
      passedText += events.push(Uint8Array.of(byte)).bytes?.toString() ?? '';
    }
    expect(passedText).to.equal(bytes.toString());
    expect(events.lastEventId).to.equal(2);
  });

  it('drops events that the caller has and detects a gap', () => {
    const events = new EventSequencer(undefined);
    events.push(event(1));
    events.beginAttempt();
    const resumed = events.push(Buffer.concat([event(1), event(2)]));
    expect(resumed.bytes?.toString()).to.equal(event(2).toString());
    expect(events.push(event(4)).problem).to.equal(EventOrderProblem.GAP);
  });

  it('discards the incomplete event of an attempt that broke off', () => {
    const events = new EventSequencer(undefined);
    events.push(Buffer.concat([event(1), Buffer.from('id: 2\nda')]));
    expect(events.hasPartialEvent).to.equal(true);
    events.beginAttempt();
    expect(events.push(event(2)).bytes?.toString()).to.equal(
      event(2).toString(),
    );
  });
});

describe('bytes that are no event, in an event stream', () => {
  // An error's text must not reach a caller in the middle of its stream.
  const BROKEN_EVENT = 'id: 2\ndata: x';
  const ERROR_HEAD =
    'HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\n';
  const FOREIGN_BYTES: Readonly<Record<string, string>> = {
    'a head behind an event that broke off': `${BROKEN_EVENT}${ERROR_HEAD}overloaded\n\n`,
    'a status line in the data of an event': `${BROKEN_EVENT}HTTP/1.1 500 Error\r\n\n\n`,
    'lines before the id': 'upstream error\nid: 2\ndata: x\n\n',
    'a JSON body': '{"error":\n"id: 2"}\n\n',
  };

  for (const [name, text] of Object.entries(FOREIGN_BYTES)) {
    it(`are not passed on: ${name}`, () => {
      const events = new EventSequencer(undefined);
      events.push(Buffer.from('id: 1\ndata: x\n\n'));
      const {bytes, problem} = events.push(Buffer.from(text));
      expect(bytes).to.equal(undefined);
      expect(problem).to.equal(EventOrderProblem.MALFORMED);
      expect(events.lastEventId).to.equal(1);
    });
  }

  it('are not seen in fields of other names and in comments', () => {
    const events = new EventSequencer(undefined);
    const text = 'extension: 3\nid: 1\n: note\ndata: HTTP/1.1 200\n\n';
    expect(events.push(Buffer.from(text)).bytes?.toString()).to.equal(text);
  });
});

describe('cluster-wide retry budget', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install({toFake: ['performance', 'Date']});
  });
  afterEach(() => clock.uninstall());

  function consumeRetries(budget: ClusterRetryBudget, tries: number): number {
    let count = 0;
    for (let index = 0; index < tries; index += 1) {
      if (budget.tryConsume()) count += 1;
    }
    return count;
  }

  it('keeps the sum of retries over all nodes within the allowance', () => {
    const nodeCount = 6;
    let sum = 0;
    for (let node = 0; node < nodeCount; node += 1) {
      const budget = new ClusterRetryBudget({
        ratio: 0.2,
        allowance: 52,
        windowMilliseconds: 10_000,
        nodeCount: () => nodeCount,
      });
      sum += consumeRetries(budget, 100);
    }
    expect(sum).to.be.within(1, 52);
  });

  it('restores retries that were consumed more than a window ago', () => {
    const budget = new ClusterRetryBudget({
      ratio: 0.2,
      allowance: 10,
      windowMilliseconds: 10_000,
      nodeCount: () => 1,
    });
    const first = consumeRetries(budget, 100);
    expect(consumeRetries(budget, 100)).to.equal(0);
    clock.tick(11_000);
    expect(consumeRetries(budget, 100)).to.equal(first);
  });
});

describe('demand counter', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install({toFake: ['performance', 'Date']});
  });
  afterEach(() => clock.uninstall());

  it('counts refused requests as queued demand until they decay', () => {
    const counter = new DemandCounter();
    const request = testRequest({modelRequest: testModelRequest('model')});
    for (let index = 0; index < 10; index += 1) {
      counter.recordQueued(request);
      counter.recordEnded(request, false);
    }
    const entry = modelEntryName('service', 'model');
    expect(counter.demandFor(entry)).to.include({inFlight: 0, queued: 10});
    clock.tick(10_000);
    expect(counter.demandFor(entry)?.queued).to.equal(0);
  });

  it('counts a request once while it is queued, runs and ends', () => {
    const counter = new DemandCounter();
    const request = testRequest({modelRequest: testModelRequest('m', 'a')});
    counter.recordQueued(request);
    expect(counter.demandFor('service/m/a')).to.include({
      queued: 1,
      inFlight: 0,
    });
    counter.recordSlotTaken(request);
    expect(counter.demandFor('service/m')).to.include({queued: 0, inFlight: 1});
    counter.recordEnded(request, true);
    expect(counter.demandFor('service/m')).to.include({queued: 0, inFlight: 0});
  });
});
