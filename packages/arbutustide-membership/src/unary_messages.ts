import type {Http2Stream} from 'node:http2';

import {
  COMPRESSION_MINIMUM_BYTES,
  PEER_COMPRESSION,
} from './peer_compression.js';

/** Content type of a binary message of the Connect protocol. */
export const UNARY_CONTENT_TYPE = 'application/proto';
/** Messages between nodes are smaller than this. */
const MAXIMUM_MESSAGE_BYTES = 64 * 1_024 * 1_024;

/** A message as it is sent, and its content encoding. */
export interface EncodedMessage {
  readonly bytes: Uint8Array;
  readonly encoding: string | undefined;
}

/** Compresses a message if it is large. */
export async function encodeUnaryMessage(
  bytes: Uint8Array,
): Promise<EncodedMessage> {
  if (bytes.length <= COMPRESSION_MINIMUM_BYTES)
    return {bytes, encoding: undefined};
  const compressed = await PEER_COMPRESSION.compress(
    bytes as Uint8Array<ArrayBuffer>,
  );
  return {bytes: compressed, encoding: PEER_COMPRESSION.name};
}

/**
 * Decompresses a message.
 *
 * @throws if its encoding is not the one of peers, or it is malformed.
 */
export async function decodeUnaryMessage({
  bytes,
  encoding,
}: EncodedMessage): Promise<Uint8Array> {
  if (encoding === undefined || encoding === 'identity') return bytes;
  if (encoding !== PEER_COMPRESSION.name)
    throw new Error(`unknown encoding of a message: ${encoding}`);
  return PEER_COMPRESSION.decompress(
    bytes as Uint8Array<ArrayBuffer>,
    MAXIMUM_MESSAGE_BYTES,
  );
}

/** Reads a whole body; rejects when it is cut or too long. */
export function readBody(
  stream: Http2Stream,
  onData: () => void = () => {},
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    stream.on('data', (chunk: Buffer) => {
      onData();
      chunks.push(chunk);
      length += chunk.length;
      if (length > MAXIMUM_MESSAGE_BYTES)
        stream.destroy(new Error('a message of a peer is too long'));
    });
    stream.once('end', () => {
      // A stream that was reset ends like a whole one before it fails.
      if (stream.rstCode) return;
      resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
    });
    stream.once('error', reject);
    stream.once('aborted', () => reject(new Error('the peer broke off')));
    stream.once('close', () => reject(new Error('the stream was closed')));
  });
}
