import type {Request, Response} from '@tinyhttp/app';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {FaultRule} from './fault_injector.js';

import {once} from 'node:events';
import {createServer} from 'node:http';

import {delay} from '@arbutustide/errors';
import {App} from '@tinyhttp/app';

import {FaultKind, FaultInjector} from './fault_injector.js';

/**
 * Paths by which a test controls the stand-in itself. Faults are never injected
 * into these, so that a test can always clear them.
 */
const CONTROL_PATH_PREFIX = '/stand-in/';

type FaultHandler = (rule: FaultRule, response: Response) => Promise<boolean>;

/** Each returns whether the call is passed on to its route handler. */
const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  async [FaultKind.REFUSE](_rule, response) {
    sendJson(response, 503, {reason: 'refused by an injected fault'});
    return false;
  },
  async [FaultKind.DELAY](rule) {
    await delay(rule.delayMilliseconds);
    return true;
  },
  async [FaultKind.LOSE_REPLY](_rule, response) {
    const {socket} = response;
    response.writeHead = () => response;
    response.write = () => true;
    response.end = () => {
      socket?.destroy();
      return response;
    };
    return true;
  },
  async [FaultKind.FREEZE]() {
    return false;
  },
};

/**
 * The HTTP server of a stand-in. Tests inject faults, close its connections
 * and read what it recorded through the paths under `/stand-in/`.
 */
export class StandInServer {
  readonly app: App;
  readonly faultInjector = new FaultInjector();
  private readonly server: Server;

  /** @param records returns the body of `GET /stand-in/records`. */
  constructor(records: () => unknown) {
    this.app = new App({
      applyExtensions: (_request, _response, next) => next(),
      settings: {xPoweredBy: false},
    });
    this.app.get(`${CONTROL_PATH_PREFIX}records`, (_request, response) => {
      sendJson(response, 200, records());
    });
    this.app.post(`${CONTROL_PATH_PREFIX}faults`, async (request, response) => {
      this.faultInjector.addRule((await readJsonBody(request)) as FaultRule);
      sendJson(response, 200, {});
    });
    this.app.delete(`${CONTROL_PATH_PREFIX}faults`, (_request, response) => {
      this.faultInjector.clearRules();
      sendJson(response, 200, {});
    });
    this.app.post(`${CONTROL_PATH_PREFIX}cut`, () => this.closeConnections());
    this.server = createServer((request, response) => {
      void this.handleRequest(request as Request, response as Response);
    });
  }

  /**
   * Listens on the loopback address; port 0 takes any free one.
   *
   * @return the port in use.
   */
  async listen(port: number): Promise<number> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes every connection at once, without answering open requests. */
  closeConnections(): void {
    this.server.closeAllConnections();
  }

  /** Stops listening and closes every connection at once. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  private async handleRequest(
    request: Request,
    response: Response,
  ): Promise<void> {
    const url = request.url ?? '/';
    if (!url.startsWith(CONTROL_PATH_PREFIX)) {
      const rule = this.faultInjector.consumeMatchingRule(
        `${request.method} ${url}`,
      );
      if (rule && !(await FAULT_HANDLERS[rule.kind](rule, response))) return;
    }
    this.app.handler(request, response);
  }
}

/** Sends a value as a JSON response. */
export function sendJson(
  response: Response,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Reads a whole request body as UTF-8 text. */
export async function readBody(request: Request): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Reads a whole request body as JSON; throws `SyntaxError` if it is not. */
export async function readJsonBody(request: Request): Promise<unknown> {
  return JSON.parse(await readBody(request));
}
