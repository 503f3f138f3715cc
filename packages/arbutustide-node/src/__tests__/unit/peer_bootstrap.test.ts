/**
 * Guards against nodes that ask all others for what none has when they start
 * together, and against a list without upstreams that is taken for the store's.
 */
import type {ClusterNode} from '@arbutustide/membership';

import {NodeState, PeerError, ProtocolLevel} from '@arbutustide/membership';
import {silentLogger} from '@arbutustide/telemetry';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {PeerBootstrap} from '../../proxy/peer_bootstrap.js';
import {serializeSnapshot} from '../../proxy/peer_snapshot.js';

const OUTAGE_MILLISECONDS = 10_000;
const ROUND_MILLISECONDS = 300;
const FIRST_ROUND_MILLISECONDS = 700;
const PEERS_PER_ROUND = 3;
const OBJECT = {key: 'servers/a', value: '{}', version: 1};

function createNode(index: number, state: NodeState): ClusterNode {
  return {
    identity: `node-${index}`,
    name: `node-${index}`,
    peerUrl: `http://node-${index}`,
    region: 'region',
    failureDomain: 'domain',
    state,
    catalogueRevision: 0,
    plannerEpoch: 0,
    protocolLevel: ProtocolLevel.RETRY_LOANS,
  };
}

describe('start of a node that the store does not answer', () => {
  let clock: ReturnType<typeof install>;
  let peers: ClusterNode[];
  let answer: string | undefined;
  let calls: string[];
  let hasConfiguration: boolean;
  let hasUpstreams: boolean;
  let controller: AbortController;

  beforeEach(() => {
    clock = install();
    peers = [];
    answer = serializeSnapshot(OBJECT, [OBJECT], 0);
    calls = [];
    hasConfiguration = false;
    hasUpstreams = false;
    controller = new AbortController();
  });
  afterEach(() => {
    controller.abort();
    clock.uninstall();
  });

  async function run(milliseconds = OUTAGE_MILLISECONDS): Promise<void> {
    const bootstrap = new PeerBootstrap({
      transport: {
        fetchHead: async peerUrl => {
          calls.push(peerUrl);
          return answer === undefined
            ? Err(new PeerError(peerUrl, 'no answer'))
            : Ok(answer);
        },
      },
      listPeers: () => peers,
      configurationWatcher: {
        get routes() {
          return hasConfiguration ? ({} as never) : undefined;
        },
        applyObject: () => (hasConfiguration = true) as never,
      },
      upstreamWatcher: {
        get isInitialized() {
          return hasUpstreams;
        },
        initializeFromPeer: () => {
          hasUpstreams = true;
        },
      },
      random: () => 0.5,
      logger: silentLogger(),
    });
    void bootstrap.run(controller.signal);
    await clock.tickAsync(milliseconds);
  }

  const setPeers = (count: number, state: NodeState) => {
    peers = Array.from({length: count}, (_, index) => createNode(index, state));
  };

  for (const count of [7, 23, 71])
    it(`asks none of ${count} peers that are starting as well`, async () => {
      setPeers(count, NodeState.STARTING);
      await run();
      expect(calls).to.eql([]);
    });

  for (const count of [7, 23, 71])
    it(`asks one of ${count} peers that serve callers`, async () => {
      setPeers(count, NodeState.READY);
      await run();
      expect(calls).to.have.lengthOf(1);
      expect([hasConfiguration, hasUpstreams]).to.eql([true, true]);
    });

  it('asks a few at a time if they do not answer', async () => {
    setPeers(71, NodeState.READY);
    answer = undefined;
    await run(FIRST_ROUND_MILLISECONDS + ROUND_MILLISECONDS - 1);
    expect(calls).to.have.lengthOf(PEERS_PER_ROUND);
    expect(new Set(calls).size).to.equal(PEERS_PER_ROUND);
    await clock.tickAsync(ROUND_MILLISECONDS);
    expect(calls).to.have.lengthOf(2 * PEERS_PER_ROUND);
  });

  it('asks the one that serves callers among those that are starting', async () => {
    setPeers(23, NodeState.STARTING);
    peers[5] = createNode(5, NodeState.READY);
    await run();
    expect(calls).to.eql(['http://node-5']);
  });

  it('does not take a list without upstreams for the one of the store', async () => {
    setPeers(7, NodeState.READY);
    answer = serializeSnapshot(OBJECT, [], Infinity);
    await run(FIRST_ROUND_MILLISECONDS);
    expect([hasConfiguration, hasUpstreams]).to.eql([true, false]);
    answer = serializeSnapshot(OBJECT, [OBJECT], 0);
    await clock.tickAsync(ROUND_MILLISECONDS);
    expect(hasUpstreams).to.equal(true);
  });

  it('asks nobody once the store has answered', async () => {
    setPeers(7, NodeState.READY);
    hasConfiguration = true;
    hasUpstreams = true;
    await run();
    expect(calls).to.eql([]);
  });
});
