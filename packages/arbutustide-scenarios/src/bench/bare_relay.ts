import {createServer} from 'node:http';

import {Pool} from 'undici';

/** Relays by node:http and undici alone, with no decisions. */
export function startBareRelay(
  upstreamUrl: string,
  onPort: (port: number) => void,
): void {
  const pool = new Pool(upstreamUrl, {connections: 256, pipelining: 1});
  const server = createServer((request, response) => {
    const pieces: Buffer[] = [];
    request.on('data', (piece: Buffer) => pieces.push(piece));
    request.on('end', () => {
      void pool
        .request({
          method: 'POST',
          path: request.url ?? '/',
          headers: {'content-type': 'application/json'},
          body: Buffer.concat(pieces),
        })
        .then(upstream => {
          response.writeHead(upstream.statusCode, upstream.headers);
          upstream.body.pipe(response);
        });
    });
  });
  server.listen(0, '127.0.0.1', () => {
    onPort((server.address() as {port: number}).port);
  });
}
