import type {Compression} from '@connectrpc/connect/protocol';

import {gunzipSync, gzipSync} from 'node:zlib';

import {Code, ConnectError} from '@connectrpc/connect';

/**
 * Messages from this size on are compressed. Most messages between nodes are
 * smaller; those that carry the sequences of all records are not.
 */
export const COMPRESSION_MINIMUM_BYTES = 1_024;

/**
 * Gzip on the calling thread. Messages have a few kilobytes, which take some
 * tens of microseconds; the thread pool of Node.js costs more than that for each
 * message, in streams and wake-ups.
 */
export const PEER_COMPRESSION: Compression = {
  name: 'gzip',
  compress: async bytes => gzipSync(bytes) as Uint8Array<ArrayBuffer>,
  decompress: async (bytes, readMaxBytes) => {
    if (bytes.length === 0) return new Uint8Array(0);
    try {
      return gunzipSync(bytes, {
        maxOutputLength: readMaxBytes,
      }) as Uint8Array<ArrayBuffer>;
    } catch (error) {
      const isTooLarge =
        error instanceof RangeError ||
        (error instanceof Error &&
          'code' in error &&
          error.code === 'ERR_BUFFER_TOO_LARGE');
      throw new ConnectError(
        `failed to decompress a message of a peer: ${String(error)}`,
        isTooLarge ? Code.ResourceExhausted : Code.InvalidArgument,
      );
    }
  },
};
