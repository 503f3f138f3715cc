/**
 * Guards against nodes that end because a connection to a peer fails in a phase
 * in which nobody listens to it, and against requests that never settle.
 * Connections are reset while they are opened, before their first request and
 * later, or fall silent, under concurrent requests.
 */
import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {createServer as createHttp2Server} from 'node:http2';
import {connect, createServer} from 'node:net';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';

import {PeerSessionManager} from '../../peer_session_manager.js';

const MANAGERS = 10;
const REQUESTS_PER_MANAGER = 4;
const DURATION_MILLISECONDS = 3_000;
/** Far shorter than in use, so that all phases are met. */
const SESSION_OPTIONS = {
  pingIntervalMs: 30,
  pingTimeoutMs: 40,
  idleConnectionTimeoutMs: 100,
};
/** Longer than pings and a new connection take. */
const SETTLE_MILLISECONDS = 1_000;
const GOLDEN_RATIO = 0.618034;

/** Ends of a connection, in the order in which connections meet them. */
enum Fault {
  RESET_WHILE_OPENED,
  SILENT,
  RESET_LATER,
}
const FAULTS = [
  Fault.RESET_LATER,
  Fault.SILENT,
  Fault.RESET_WHILE_OPENED,
  Fault.RESET_LATER,
  Fault.SILENT,
];

describe('sessions with a peer whose connections fail', function () {
  this.timeout(20_000);
  let drawCount = 0;

  /** Evenly distributed numbers in [0, 1). */
  function draw(): number {
    drawCount += 1;
    return (drawCount * GOLDEN_RATIO) % 1;
  }

  /** Passes bytes on, and breaks each connection in its way. */
  function breakConnection(socket: Socket, port: number, fault: Fault): void {
    socket.on('error', () => {});
    if (fault === Fault.RESET_WHILE_OPENED) {
      setTimeout(() => socket.resetAndDestroy(), 3 * draw());
      return;
    }
    const target = connect(port, '127.0.0.1');
    target.on('error', () => {});
    socket.pipe(target).pipe(socket);
    if (fault === Fault.SILENT) {
      setTimeout(() => {
        socket.unpipe();
        target.unpipe();
      }, 60 * draw());
    }
    setTimeout(
      () => {
        socket.resetAndDestroy();
        target.destroy();
      },
      20 + 150 * draw(),
    );
  }

  async function requestRepeatedly(
    manager: PeerSessionManager,
    endAt: number,
    onAnswer: () => void,
  ): Promise<void> {
    while (performance.now() < endAt) {
      const stream = await Promise.race([
        manager.request('GET', '/', {}, {}).catch(() => undefined),
        delay(SETTLE_MILLISECONDS).then(() => 'unsettled' as const),
      ]);
      expect(stream).not.to.equal('unsettled');
      if (typeof stream === 'object') {
        stream.on('error', () => {});
        stream.on('data', () => manager.notifyResponseByteRead(stream));
        stream.on('end', onAnswer);
        await Promise.race([
          once(stream, 'close').catch(() => {}),
          delay(SETTLE_MILLISECONDS),
        ]);
        expect(stream.closed || stream.destroyed).to.equal(true);
      }
      await delay(40 * draw());
    }
  }

  it('fail requests and nothing else', async () => {
    const peer = createHttp2Server();
    peer.on('stream', stream => {
      stream.on('error', () => {});
      setTimeout(() => {
        if (stream.closed || stream.destroyed) return;
        stream.respond();
        stream.end('answer');
      }, 10 * draw());
    });
    peer.on('session', session => session.on('error', () => {}));
    peer.listen(0, '127.0.0.1');
    await once(peer, 'listening');
    const {port} = peer.address() as AddressInfo;
    let connectionCount = 0;
    const sockets = new Set<Socket>();
    const proxy = createServer(socket => {
      connectionCount += 1;
      sockets.add(socket);
      breakConnection(socket, port, FAULTS[connectionCount % FAULTS.length]);
    });
    proxy.listen(0, '127.0.0.1');
    await once(proxy, 'listening');
    const url = `http://127.0.0.1:${(proxy.address() as AddressInfo).port}`;
    const endAt = performance.now() + DURATION_MILLISECONDS;
    let answerCount = 0;
    const managers = Array.from(
      {length: MANAGERS},
      () => new PeerSessionManager(url, SESSION_OPTIONS, () => {}),
    );
    await Promise.all(
      managers.flatMap(manager =>
        Array.from({length: REQUESTS_PER_MANAGER}, () =>
          requestRepeatedly(manager, endAt, () => {
            answerCount += 1;
          }),
        ),
      ),
    );
    // An error that nobody listens to fails the test.
    for (const socket of sockets) socket.resetAndDestroy();
    await delay(100);
    proxy.close();
    peer.close();
    expect(answerCount).to.be.greaterThan(100);
    // Each manager has lost several connections.
    expect(connectionCount).to.be.greaterThan(5 * MANAGERS);
  });
});
