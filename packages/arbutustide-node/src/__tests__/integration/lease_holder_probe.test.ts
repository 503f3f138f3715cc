import type {PeerHandler} from '@arbutustide/membership';
import type {Server} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:net';

import {
  ConnectPeerServer,
  ConnectPeerTransport,
  Gossip,
  MemberTable,
  OwnRecord,
} from '@arbutustide/membership';
import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {LeaseHolderProbe} from '../../proxy/lease_holder_probe.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MILLISECONDS = 3_000;
const EXPIRY_MILLISECONDS = 3_500;

function createMemberTable(identity: string): MemberTable {
  return new MemberTable(
    new OwnRecord(identity, EXPIRY_MILLISECONDS),
    EXPIRY_MILLISECONDS,
  );
}

/** Creates a handler that answers exchanges under the given identity. */
function createPeerHandler(identity: string): PeerHandler {
  const gossip = new Gossip(
    createMemberTable(identity),
    new ConnectPeerTransport(CALL_TIMEOUT_MILLISECONDS, () => {}),
    {
      ownUrl: '',
      ownFailureDomain: '',
      intervalMilliseconds: EXPIRY_MILLISECONDS,
      heartbeatMilliseconds: EXPIRY_MILLISECONDS,
      maximumPeers: 0,
      random: Math.random,
    },
  );
  return {
    exchange: request => gossip.handleExchange(request),
    catalogueHeadJson: () => '',
    catalogueContentJson: () => '',
    requestHolding: async () => undefined,
    requestHoldings: async () => [],
    serveWatch: async () => undefined,
    issueToken: () => undefined,
    recordStreamOrigins: () => {},
    relayRequest: async function* () {},
    findStreamOrigin: async () => ({isKnown: false}),
    confirmConfiguration: () => ({isKnown: false}),
    leaseQuota: () => ({grants: []}),
    lendRetries: () => 0,
  };
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server);
  server.close();
  await once(server, 'close');
  return port;
}

async function listen(server: Server): Promise<number> {
  server.listen(0, HOST);
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}

// Guards against two planners at once: a node that mistakes a live but
// unresponsive holder for an ended one takes over its lease early. Also guards
// against a slow takeover after the holder's process has ended.
describe('LeaseHolderProbe', () => {
  let probe: LeaseHolderProbe;
  let memberTable: MemberTable;

  // A call without answer must have timed out before later tests pause the
  // clock: its connection would not finish closing, and then fail to ping.
  after(() => delay(CALL_TIMEOUT_MILLISECONDS + EXPIRY_MILLISECONDS));

  beforeEach(() => {
    memberTable = createMemberTable('127.0.0.1:1#checker');
    probe = new LeaseHolderProbe(
      memberTable,
      new ConnectPeerTransport(CALL_TIMEOUT_MILLISECONDS, () => {}),
    );
  });

  it('reports an end when the address refuses connections', async () => {
    const port = await findFreePort();
    expect(await probe.hasEnded(`${HOST}:${port}#first`)).to.equal(true);
  });

  it('distinguishes the process from another at the same address', async () => {
    const port = await findFreePort();
    const server = new ConnectPeerServer(() =>
      createPeerHandler(`${HOST}:${port}#second`),
    );
    await server.listen(HOST, port);
    expect(await probe.hasEnded(`${HOST}:${port}#first`)).to.equal(true);
    expect(await probe.hasEnded(`${HOST}:${port}#second`)).to.equal(false);
    await server.close();
  });

  it('does not report an end when there is no answer', async () => {
    const silentServer = createServer(socket => socket.on('error', () => {}));
    const port = await listen(silentServer);
    const startedAt = performance.now();
    expect(await probe.hasEnded(`${HOST}:${port}#first`)).to.equal(false);
    // The lease is renewed each second; the probe must not delay that much.
    expect(performance.now() - startedAt).to.be.lessThan(1_000);
    silentServer.close();
  });

  it('does not report an end for an identity without an address', async () => {
    expect(await probe.hasEnded('unreadable')).to.equal(false);
  });

  it('does not probe a process that was heard of recently', async () => {
    const identity = `${HOST}:${await findFreePort()}#first`;
    const holderTable = createMemberTable(identity);
    holderTable.ownRecord.recordHeartbeat();
    memberTable.merge(holderTable.deltasSince(new Map()));
    expect(probe.wasHeardRecently(identity)).to.equal(true);
    expect(await probe.hasEnded(identity)).to.equal(false);
  });

  it('reports an end once the record has stopped growing', async () => {
    const identity = `${HOST}:${await findFreePort()}#first`;
    const holderTable = createMemberTable(identity);
    holderTable.ownRecord.recordHeartbeat();
    memberTable.merge(holderTable.deltasSince(new Map()));
    await delay(2_000);
    expect(probe.wasHeardRecently(identity)).to.equal(false);
    expect(await probe.hasEnded(identity)).to.equal(true);
  });
});
