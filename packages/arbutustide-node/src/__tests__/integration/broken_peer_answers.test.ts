// Guards against an answer of a peer that breaks off and is taken for a whole
// one: a message that lacks its last fields may still be a valid message.
import type {PeerHandler, RelayResponsePart} from '@arbutustide/membership';

import {Cancellation} from '@arbutustide/errors';
import {
  ConfirmConfigurationRequestSchema,
  ConnectPeerServer,
  ConnectPeerTransport,
} from '@arbutustide/membership';
import {ENDLESS_ANSWER_PERIOD} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';

import {ClusterRequestRelay} from '../../proxy/relay/cluster_request_relay.js';
import {createRequest, FRESH} from '../relay_fixtures.js';
import {CutEnd, CuttingProxy} from './cutting_proxy.js';

const TIMEOUT_MILLISECONDS = 5_000;
const CHUNKS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];

const PARTS: readonly RelayResponsePart[] = [
  {
    part: {
      case: 'head',
      value: {
        status: 200,
        headers: ['Content-Type', 'text/event-stream'],
        isEventStream: true,
        upstreamId: 'upstream',
        attempts: 1,
      },
    },
  },
  ...CHUNKS.map(chunk => ({
    part: {case: 'chunk' as const, value: Buffer.from(chunk)},
  })),
  {part: {case: 'isWhole', value: true}},
];

const HANDLER: Partial<PeerHandler> = {
  catalogueHeadJson: () => '{"digest":"abc"}',
  confirmConfiguration: () => ({isKnown: true, version: 7, ageMilliseconds: 1}),
  async *relayRequest() {
    yield* PARTS;
  },
};

/** Makes a call; what was taken for a whole answer, if anything was. */
type PeerCall = (
  transport: ConnectPeerTransport,
  url: string,
) => Promise<string | undefined>;

const CALLS: Readonly<Record<string, PeerCall>> = {
  'a text': async (transport, url) => {
    const answer = await transport.fetchHead(url);
    return answer.ok ? answer.val : undefined;
  },
  'a confirmation': async (transport, url) => {
    const request = create(ConfirmConfigurationRequestSchema, {version: 7});
    const answer = await transport.confirmConfiguration(url, request);
    if (!answer.ok) return undefined;
    const {isKnown, version, ageMilliseconds} = answer.val;
    return JSON.stringify({isKnown, version, ageMilliseconds});
  },
  'a relayed answer': readRelayed,
};

async function readRelayed(
  transport: ConnectPeerTransport,
  peerUrl: string,
): Promise<string | undefined> {
  const relay = new ClusterRequestRelay({
    identity: 'node',
    listCandidates: () => [],
    transport,
    random: Math.random,
    logger: silentLogger(),
    answerPeriod: ENDLESS_ANSWER_PERIOD,
  });
  const answer = await relay.sendRequest(
    {identity: 'peer', name: 'peer', peerUrl},
    createRequest(),
    FRESH,
    new Cancellation(),
  );
  if (!answer.ok) return undefined;
  let text = '';
  try {
    for await (const chunk of answer.val.body)
      text += Buffer.from(chunk).toString();
  } catch {
    return undefined;
  }
  return text;
}

describe('answer of a peer that breaks off', function () {
  this.timeout(120_000);
  let server: ConnectPeerServer;
  let port: number;

  beforeEach(async () => {
    server = new ConnectPeerServer(() => HANDLER as PeerHandler);
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => server.close());

  /** Calls through a proxy that cuts the connection, new or kept. */
  async function callAndCut(
    call: PeerCall,
    isKept: boolean,
    cut?: {readonly bytes: number; readonly end: CutEnd},
  ) {
    const proxy = new CuttingProxy(port);
    const url = await proxy.listen();
    const transport = new ConnectPeerTransport(TIMEOUT_MILLISECONDS, () => {});
    if (isKept) await call(transport, url);
    const before = proxy.passedBytes;
    if (cut) proxy.cutAfter(cut.bytes, cut.end);
    const answer = await call(transport, url);
    transport.dropClient(url);
    proxy.close();
    return {answer, bytes: proxy.passedBytes - before};
  }

  for (const [name, call] of Object.entries(CALLS)) {
    for (const isKept of [false, true]) {
      it(`is not taken for whole: ${name}, ${isKept ? 'kept' : 'new'} connection`, async () => {
        const whole = await callAndCut(call, isKept);
        expect(whole.answer).to.not.equal(undefined);
        const problems: string[] = [];
        for (const end of Object.values(CutEnd)) {
          for (let bytes = 0; bytes < whole.bytes; bytes += 1) {
            const {answer} = await callAndCut(call, isKept, {bytes, end});
            if (answer !== undefined && answer !== whole.answer)
              problems.push(`${end} after ${bytes} bytes: "${answer}"`);
          }
        }
        expect(problems).to.deep.equal([]);
      });
    }
  }

  it('is not taken for whole: a relayed answer that ends regularly, without its last part', async () => {
    for (let count = 0; count < PARTS.length; count += 1) {
      const handler: Partial<PeerHandler> = {
        async *relayRequest() {
          yield* PARTS.slice(0, count);
        },
      };
      const ending = new ConnectPeerServer(() => handler as PeerHandler);
      const url = `http://127.0.0.1:${await ending.listen('127.0.0.1', 0)}`;
      const transport = new ConnectPeerTransport(
        TIMEOUT_MILLISECONDS,
        () => {},
      );
      const answer = await readRelayed(transport, url);
      transport.dropClient(url);
      await ending.close();
      expect(answer, `after ${count} parts`).to.equal(undefined);
    }
  });
});
