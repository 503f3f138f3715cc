// Guards against requests that a node passes on for a peer although the peer has
// given them up, or that a node passes to a peer although their callers have left.
import type {PeerHandler, PeerTransport} from '@arbutustide/membership';

import {Worker} from 'node:worker_threads';

import {
  Cancellation,
  delay,
  ErrorKind,
  RefusalError,
} from '@arbutustide/errors';
import {
  ConnectPeerServer,
  RelayRequestRequestSchema,
} from '@arbutustide/membership';
import {ENDLESS_ANSWER_PERIOD} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {AttemptFailure} from '@arbutustide/upstream';
import {toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {Err} from 'ts-results';

import {ClusterRequestRelay} from '../../proxy/relay/cluster_request_relay.js';
import {encodeRelayRequest} from '../../proxy/relay/relay_messages.js';
import {RelayServer} from '../../proxy/relay/relay_server.js';
import {createRequest, FRESH} from '../relay_fixtures.js';

const REQUESTS = 20;
const BLOCKED_MILLISECONDS = 600;
const SETTLE_MILLISECONDS = 300;
const DEADLINE_MILLISECONDS = 5_000;

/**
 * A peer in a thread of its own that sends requests and, after 200 ms, cancels
 * them or ends its session.
 */
const PEER_THREAD = `
  const {workerData} = require('node:worker_threads');
  const {connect} = require('node:http2');
  const session = connect(workerData.url);
  session.on('error', () => {});
  const streams = workerData.messages.map(message => {
    const frame = Buffer.alloc(5 + message.length);
    frame.writeUInt32BE(message.length, 1);
    frame.set(message, 5);
    const stream = session.request({
      ':method': 'POST',
      ':path': '/arbutustide.membership.v1.MembershipService/RelayRequest',
      'content-type': 'application/connect+proto',
      'connect-protocol-version': '1',
    });
    stream.on('error', () => {});
    stream.end(frame);
    return stream;
  });
  const ends = {
    cancel: () => streams.forEach(stream => stream.close(8)),
    end: () => session.destroy(),
    wait: () => {},
  };
  setTimeout(ends[workerData.end], 200);
`;

function blockEventLoop(): void {
  const memory = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(memory, 0, 0, BLOCKED_MILLISECONDS);
}

describe('requests of a peer that arrived while the loop was blocked', () => {
  let server: ConnectPeerServer;
  let peer: Worker | undefined;
  let dispatched: string[];
  let remainingMilliseconds: number[];
  let url: string;

  beforeEach(async () => {
    dispatched = [];
    remainingMilliseconds = [];
    const relayServer = new RelayServer(
      {
        dispatch: async ({requestId, deadlineAtMilliseconds}) => {
          dispatched.push(requestId);
          remainingMilliseconds.push(
            deadlineAtMilliseconds - performance.now(),
          );
          return Err(new RefusalError(ErrorKind.NOT_READY, 'stand-in'));
        },
      },
      () => true,
      {refuse: () => undefined},
      silentLogger(),
    );
    const handler: Pick<PeerHandler, 'relayRequest'> = {
      relayRequest: (message, signal) => relayServer.handle(message, signal),
    };
    server = new ConnectPeerServer(() => handler as PeerHandler);
    url = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
  });

  afterEach(async () => {
    await peer?.terminate();
    await server.close();
  });

  async function sendWhileBlocked(end: string): Promise<void> {
    const messages = Array.from({length: REQUESTS}, (_, index) =>
      toBinary(
        RelayRequestRequestSchema,
        encodeRelayRequest(
          'peer',
          createRequest({requestId: `request-${index}`}),
          FRESH,
          ENDLESS_ANSWER_PERIOD,
        ),
      ),
    );
    peer = new Worker(PEER_THREAD, {
      eval: true,
      workerData: {url, messages, end},
    });
    blockEventLoop();
    await delay(SETTLE_MILLISECONDS);
  }

  for (const end of ['cancel', 'end']) {
    it(`are not passed on if it has given them up: ${end}`, async () => {
      await sendWhileBlocked(end);
      expect(dispatched).to.eql([]);
    });
  }

  it('have no time again for which they lay unread', async () => {
    await sendWhileBlocked('wait');
    expect(remainingMilliseconds).to.have.length(REQUESTS);
    const sentAfter = DEADLINE_MILLISECONDS - BLOCKED_MILLISECONDS / 2;
    expect(Math.max(...remainingMilliseconds)).to.be.below(sentAfter);
  });
});

describe('requests for which no upstream can be reached', () => {
  it('are not sent to a peer if their callers left unread', async () => {
    const sent: string[] = [];
    const transport: Pick<PeerTransport, 'relayRequest'> = {
      relayRequest: async function* (_url, {requestId}) {
        sent.push(requestId);
        yield* [];
      },
    };
    const relay = new ClusterRequestRelay({
      identity: 'origin',
      listCandidates: () => [],
      transport: transport as PeerTransport,
      random: Math.random,
      logger: silentLogger(),
      answerPeriod: ENDLESS_ANSWER_PERIOD,
    });
    const peer = {name: 'peer', identity: 'peer', peerUrl: ''};
    const cancellation = new Cancellation();
    const request = createRequest({requestId: 'left'});
    blockEventLoop();
    // The event of the caller's connection that is read next.
    setImmediate(() => cancellation.cancel('the caller went away'));
    const result = await relay.sendRequest(peer, request, FRESH, cancellation);
    expect(sent).to.eql([]);
    expect(result.err && result.val.error.failure).to.equal(
      AttemptFailure.NOT_SENT,
    );
  });
});
