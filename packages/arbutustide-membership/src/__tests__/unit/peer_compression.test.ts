import {ConnectError} from '@connectrpc/connect';
import {expect} from 'chai';

import {gzipSync} from 'node:zlib';

import {PEER_COMPRESSION} from '../../peer_compression.js';

const LIMIT_BYTES = 10_000;

describe('compression of messages between nodes', () => {
  it('restores what it has compressed', async () => {
    const bytes = Buffer.from('10.0.0.1:7380/4711 12\n'.repeat(60));
    const compressed = await PEER_COMPRESSION.compress(bytes);
    expect(compressed.length).to.be.lessThan(bytes.length / 2);
    const restored = await PEER_COMPRESSION.decompress(compressed, LIMIT_BYTES);
    expect(Buffer.from(restored).equals(bytes)).to.equal(true);
  });

  it('rejects a message that decompresses to more than the limit', async () => {
    const bomb = gzipSync(Buffer.alloc(LIMIT_BYTES * 10));
    const error = await PEER_COMPRESSION.decompress(bomb, LIMIT_BYTES).catch(
      caught => caught,
    );
    expect(error).to.be.instanceOf(ConnectError);
  });

  it('rejects bytes that are not compressed', async () => {
    const error = await PEER_COMPRESSION.decompress(
      Buffer.from('plain'),
      LIMIT_BYTES,
    ).catch(caught => caught);
    expect(error).to.be.instanceOf(ConnectError);
  });
});
