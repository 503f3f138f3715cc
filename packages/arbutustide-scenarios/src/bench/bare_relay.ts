import {createServer} from 'node:http';

import {Pool} from 'undici';

/** Starts a relay that uses only node:http and undici, as a baseline. */
export function startBareRelay(
  upstreamUrl: string,
  onPort: (port: number) => void,
): void {
  const pool = new Pool(upstreamUrl, {connections: 256, pipelining: 1});
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      void pool
        .request({
          method: 'POST',
          path: request.url ?? '/',
          headers: {'content-type': 'application/json'},
          body: Buffer.concat(chunks),
        })
        .then(answer => {
          response.writeHead(answer.statusCode, answer.headers);
          answer.body.pipe(response);
        });
    });
  });
  server.listen(0, '127.0.0.1', () => {
    onPort((server.address() as {port: number}).port);
  });
}
