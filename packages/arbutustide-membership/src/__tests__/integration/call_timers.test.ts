/**
 * Guards against timers of calls that have ended: each was kept until its time
 * was over, thousands on a node that calls its peers often.
 */
import type {PeerHandler} from '../../peer_transport.js';

import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ConnectPeerServer} from '../../connect_peer_server.js';
import {ConnectPeerTransport} from '../../connect_peer_transport.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  WatchRequestSchema,
} from '../../gen/arbutustide/membership/v1/membership_pb.js';

const CALL_TIMEOUT_MILLISECONDS = 1_000;
const CALLS = 20;

describe('calls of a peer that have ended', () => {
  it('leave no timers, whether they were answered or failed', async () => {
    const handler = {
      exchange: () => create(ExchangeResponseSchema, {sender: 'peer'}),
      serveWatch: () => Promise.reject(new Error('not served')),
    };
    const server = new ConnectPeerServer(
      () => handler as unknown as PeerHandler,
    );
    const port = await server.listen('127.0.0.1', 0);
    const peerUrl = `http://127.0.0.1:${port}`;
    const transport = new ConnectPeerTransport(
      CALL_TIMEOUT_MILLISECONDS,
      () => {},
    );
    const request = create(ExchangeRequestSchema, {sender: 'self'});
    const watch = create(WatchRequestSchema, {prefix: 'config/'});
    const clock = install({toFake: ['setTimeout', 'clearTimeout']});
    try {
      (await transport.exchange(peerUrl, request)).unwrap();
      const timersOfConnection = clock.countTimers();
      for (let count = 0; count < CALLS; count += 1) {
        (await transport.exchange(peerUrl, request)).unwrap();
        expect((await transport.watch(peerUrl, watch)).err).to.equal(true);
      }
      expect(clock.countTimers()).to.be.at.most(timersOfConnection);
    } finally {
      clock.uninstall();
      transport.dropClient(peerUrl);
      await server.close();
    }
  });
});
