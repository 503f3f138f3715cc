// Guards against sessions without end at the port for peers.
import type {ClientHttp2Session} from 'node:http2';

import type {PeerHandler} from '../../peer_transport.js';

import {once} from 'node:events';
import {connect} from 'node:http2';

import {expect} from 'chai';

import {ConnectPeerServer} from '../../connect_peer_server.js';

const SESSIONS = 600;
const MAXIMUM_SESSIONS = 512;
const SETTLE_MILLISECONDS = 300;

describe('sessions at the port for peers', () => {
  it('replace the one that has been idle longest beyond the bound', async () => {
    let boundCount = 0;
    const server = new ConnectPeerServer(
      () => ({}) as PeerHandler,
      () => (boundCount += 1),
    );
    const port = await server.listen('127.0.0.1', 0);
    const sessions: ClientHttp2Session[] = [];
    for (let index = 0; index < SESSIONS; index += 1) {
      const session = connect(`http://127.0.0.1:${port}`);
      session.on('error', () => {});
      await once(session, 'connect');
      sessions.push(session);
    }
    await new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
    const isOpen = sessions.map(({destroyed, closed}) => !destroyed && !closed);
    for (const session of sessions) session.destroy();
    await server.close();
    expect(isOpen.filter(Boolean).length).to.equal(MAXIMUM_SESSIONS);
    expect(isOpen.at(-1)).to.equal(true);
    expect(isOpen[0]).to.equal(false);
    expect(boundCount).to.equal(SESSIONS - MAXIMUM_SESSIONS);
  });
});
