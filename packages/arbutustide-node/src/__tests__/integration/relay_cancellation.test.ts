// Guards against nodes that end because a request which they pass to a peer is
// given up, at whatever moment.
import type {PeerHandler} from '@arbutustide/membership';
import type {ProxyAnswer, RoutedRequest} from '@arbutustide/routing';

import {delay, ErrorKind, RefusalError} from '@arbutustide/errors';
import {ConnectPeerServer, ConnectPeerTransport} from '@arbutustide/membership';
import {AnswerEnd, ENDLESS_ANSWER_PERIOD} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {AttemptError} from '@arbutustide/upstream';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {ClusterRequestRelay} from '../../proxy/relay/cluster_request_relay.js';
import {RelayServer} from '../../proxy/relay/relay_server.js';
import {createRequest, FRESH} from '../relay_fixtures.js';

const ROUNDS = 60;
const EVENTS = 4;
const EVENT_INTERVAL_MILLISECONDS = 3;
const SETTLE_MILLISECONDS = 200;

async function* streamEvents({
  disconnection,
}: RoutedRequest): AsyncGenerator<Uint8Array, AnswerEnd, undefined> {
  for (let event = 1; event <= EVENTS; event += 1) {
    if (disconnection.isCancelled) return AnswerEnd.ABANDONED;
    yield Buffer.from(`id: ${event}\n\n`);
    await delay(EVENT_INTERVAL_MILLISECONDS);
  }
  return AnswerEnd.WHOLE;
}

async function refuse() {
  await delay(EVENT_INTERVAL_MILLISECONDS);
  return Err(new RefusalError(ErrorKind.UPSTREAM_UNREACHABLE, 'no path'));
}

async function answer(request: RoutedRequest) {
  await delay(EVENT_INTERVAL_MILLISECONDS);
  const body: ProxyAnswer['body'] = streamEvents(request);
  const origin = {service: 'service', softwareVersion: 'v1'};
  const common = {
    status: 200,
    headers: [],
    upstreamId: 'upstream',
    attempts: 1,
  };
  return Ok({...common, origin, body});
}

describe('request that is passed to a peer and given up', function () {
  this.timeout(30_000);
  let server: ConnectPeerServer;
  let relayServer: RelayServer;
  let relay: ClusterRequestRelay;
  let peerUrl: string;
  let unhandled: unknown[];
  let isRefusing: boolean;
  const recordUnhandled = (reason: unknown) => unhandled.push(reason);

  beforeEach(async () => {
    unhandled = [];
    isRefusing = false;
    process.prependListener('unhandledRejection', recordUnhandled);
    relayServer = new RelayServer(
      {dispatch: request => (isRefusing ? refuse() : answer(request))},
      () => true,
      {refuse: () => undefined},
      silentLogger(),
    );
    await listen();
    relay = new ClusterRequestRelay({
      identity: 'origin',
      listCandidates: () => [],
      transport: new ConnectPeerTransport(1_000, () => {}),
      random: Math.random,
      logger: silentLogger(),
      answerPeriod: ENDLESS_ANSWER_PERIOD,
    });
  });

  async function listen(): Promise<void> {
    const handler: Pick<PeerHandler, 'relayRequest'> = {
      relayRequest: (message, signal) => relayServer.handle(message, signal),
    };
    server = new ConnectPeerServer(() => handler as PeerHandler);
    peerUrl = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
  }

  afterEach(async () => {
    process.off('unhandledRejection', recordUnhandled);
    await server.close();
  });

  /** Sends a request and gives it up after a time, read or unread. */
  async function giveUp(milliseconds: number, isRead: boolean): Promise<void> {
    const request = createRequest();
    const {disconnection} = request;
    const peer = {name: 'peer', identity: 'peer', peerUrl};
    setTimeout(() => disconnection.cancel('gone'), milliseconds);
    const sent = await relay.sendRequest(peer, request, FRESH, disconnection);
    if (!sent.ok || !isRead) return;
    try {
      for await (const chunk of sent.val.body) void chunk;
    } catch (error) {
      expect(error).to.be.instanceOf(AttemptError);
    }
  }

  for (const isRead of [true, false]) {
    it(`ends no process, and leaves nothing running: ${isRead ? 'read' : 'unread'}`, async () => {
      for (let round = 0; round < ROUNDS; round += 1)
        await Promise.all(
          Array.from({length: 10}, (_, index) =>
            giveUp((round % 6) * 2 + index * 0.7, isRead),
          ),
        );
      await delay(SETTLE_MILLISECONDS);
      expect(unhandled).to.deep.equal([]);
      expect(relayServer.inFlightRequests).to.equal(0);
    });
  }

  for (const isRead of [true, false]) {
    it(`ends no process if the peer ends at the same time: ${isRead ? 'read' : 'unread'}`, async () => {
      for (let round = 0; round < ROUNDS / 3; round += 1) {
        const requests = Array.from({length: 10}, (_, index) =>
          giveUp(4 + index * 1.5, isRead),
        );
        await delay(round);
        await server.close();
        await Promise.all(requests);
        await listen();
      }
      await delay(SETTLE_MILLISECONDS);
      expect(unhandled).to.deep.equal([]);
      expect(relayServer.inFlightRequests).to.equal(0);
    });
  }

  it('ends no process when the peer refuses it', async () => {
    isRefusing = true;
    for (let round = 0; round < ROUNDS; round += 1)
      await Promise.all(
        Array.from({length: 10}, (_, index) =>
          giveUp(index === 0 ? EVENT_INTERVAL_MILLISECONDS : 1_000, true),
        ),
      );
    await delay(SETTLE_MILLISECONDS);
    expect(unhandled).to.deep.equal([]);
    expect(relayServer.inFlightRequests).to.equal(0);
  });
});
