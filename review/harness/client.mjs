// A client on the platform's protocol: one connection, kept open for many
// requests, as far as its answers allow.
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';

/** How a client attempt ended. */
export const Outcome = {
  ANSWERED: 'answered',
  /** The connection ended before a complete answer. */
  CUT: 'cut',
  TIMED_OUT: 'timed_out',
};

export function newRequestId() {
  return randomBytes(8).toString('hex');
}

export class ClientConnection {
  constructor(host, port) {
    this.host = host;
    this.port = port;
  }

  /** Whether the connection may carry another request. */
  get isOpen() {
    return this.socket !== undefined && !this.isOver;
  }

  open() {
    return new Promise((resolve, reject) => {
      this.buffered = Buffer.alloc(0);
      this.isOver = false;
      this.socket = connect({host: this.host, port: this.port, noDelay: true});
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
      this.socket.on('error', () => {});
      this.socket.on('data', chunk => {
        this.buffered = Buffer.concat([this.buffered, chunk]);
        this.onProgress?.();
      });
      this.socket.on('close', () => {
        this.isOver = true;
        this.onProgress?.();
      });
    });
  }

  close() {
    this.isOver = true;
    this.socket?.destroy();
  }

  /** Sends one request and waits for its whole answer. */
  send({method = 'POST', path, host, headers = {}, body = '', deadlineMilliseconds, requestId = newRequestId()}) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Request-Attempt-Id: ${requestId}`,
      `Deadline-Ms: ${deadlineMilliseconds}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    const sentAtMilliseconds = performance.now();
    const result = {requestId, method, path, sentAtMilliseconds, outcome: Outcome.CUT};
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    return new Promise(resolve => {
      const finish = outcome => {
        clearTimeout(timer);
        this.onProgress = undefined;
        Object.assign(result, {outcome, endedAtMilliseconds: performance.now()});
        if (outcome !== Outcome.ANSWERED || result.mustClose) this.close();
        resolve(result);
      };
      const timer = setTimeout(() => finish(Outcome.TIMED_OUT), deadlineMilliseconds + 500);
      this.onProgress = () => {
        if (this.takeAnswer(result)) finish(Outcome.ANSWERED);
        else if (this.isOver) finish(Outcome.CUT);
      };
    });
  }

  /** Takes a complete answer from what has arrived, if there is one. */
  takeAnswer(result) {
    const headEnd = this.buffered.indexOf('\r\n\r\n');
    if (headEnd < 0) return false;
    const [statusLine, ...lines] = this.buffered.subarray(0, headEnd).toString('latin1').split('\r\n');
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    result.status = Number(statusLine.split(' ')[1]);
    result.headers = headers;
    result.mustClose = /close/i.test(headers.connection ?? '');
    const rest = this.buffered.subarray(headEnd + 4);
    const taken = headers['transfer-encoding'] === 'chunked'
      ? takeChunked(rest)
      : takeLength(rest, Number(headers['content-length'] ?? 0));
    result.body = taken.body.toString();
    result.events = (result.body.match(/^id: /gm) ?? []).length;
    if (taken.end === undefined) return false;
    this.buffered = rest.subarray(taken.end);
    return true;
  }
}

function takeLength(bytes, length) {
  if (bytes.length < length) return {body: bytes, end: undefined};
  return {body: bytes.subarray(0, length), end: length};
}

function takeChunked(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return {body: Buffer.concat(parts), end: undefined};
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
    const begin = lineEnd + 2;
    if (bytes.length < begin + size + 2) return {body: Buffer.concat(parts), end: undefined};
    if (size === 0) return {body: Buffer.concat(parts), end: begin + 2};
    parts.push(bytes.subarray(begin, begin + size));
    at = begin + size + 2;
  }
}

/** Sends one request on a connection of its own. */
export async function sendOnce(host, port, request) {
  const connection = new ClientConnection(host, port);
  try {
    await connection.open();
  } catch {
    return {requestId: '', outcome: 'not_connected'};
  }
  const result = await connection.send(request);
  connection.close();
  return result;
}
