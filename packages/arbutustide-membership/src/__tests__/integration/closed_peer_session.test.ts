/**
 * Guards against a session that is checked without pause after it was closed
 * while a stream was open: every ping on it fails at once.
 */
import type {AddressInfo} from 'node:net';

import {delay} from '@arbutustide/errors';
import {expect} from 'chai';
import {once} from 'node:events';
import {createServer} from 'node:http2';

import {PeerSession} from '../../peer_session.js';

const PING_INTERVAL_MS = 100;
const SILENCE_MS = 2_000;
describe('a peer session that is closed with an open stream', function () {
  this.timeout(10_000);

  it('is not checked any more', async () => {
    const server = createServer();
    server.on('stream', stream => {
      stream.on('error', () => {});
      stream.respond();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const session = new PeerSession(
      `http://127.0.0.1:${port}`,
      {
        pingIntervalMs: PING_INTERVAL_MS,
        pingTimeoutMs: 1_000,
        idleConnectionTimeoutMs: 5_000,
      },
      () => {},
    );
    let checks = 0;
    const check = session['check'].bind(session);
    session['check'] = () => {
      checks += 1;
      return check();
    };
    expect(await session.prepare()).to.equal(true);
    const stream = session.request({':path': '/'}, {});
    await once(stream, 'response');
    session.close();
    await delay(SILENCE_MS);
    // One check may have been due when the session was closed.
    expect(checks).to.be.at.most(1);
    expect(stream.closed).to.equal(false);
    stream.close();
    await once(stream, 'close');
    server.close();
  });
});
