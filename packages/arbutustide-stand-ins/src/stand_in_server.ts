import type {Request, Response} from '@tinyhttp/app';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {FaultRule} from './fault_plan.js';

import {once} from 'node:events';
import {createServer} from 'node:http';

import {delay} from '@arbutustide/errors';
import {App} from '@tinyhttp/app';

import {FaultKind, FaultPlan} from './fault_plan.js';

/** Paths by which a test speaks to the stand-in itself. */
const ORDERS_PREFIX = '/stand-in/';

type FaultHandler = (rule: FaultRule, response: Response) => Promise<boolean>;

/** Each returns whether the call goes on to its handler. */
const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  async [FaultKind.REFUSE](_rule, response) {
    sendJson(response, 503, {reason: 'refused by order'});
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

/** The HTTP shell of a stand-in, which can be told to misbehave. */
export class StandInServer {
  readonly app: App;
  readonly faults = new FaultPlan();
  private readonly server: Server;

  /** @param records what `GET /stand-in/records` answers. */
  constructor(records: () => unknown) {
    this.app = new App({
      applyExtensions: (_request, _response, next) => next(),
      settings: {xPoweredBy: false},
    });
    this.app.get(`${ORDERS_PREFIX}records`, (_request, response) => {
      sendJson(response, 200, records());
    });
    this.app.post(`${ORDERS_PREFIX}faults`, async (request, response) => {
      this.faults.add((await readJson(request)) as FaultRule);
      sendJson(response, 200, {});
    });
    this.app.delete(`${ORDERS_PREFIX}faults`, (_request, response) => {
      this.faults.clear();
      sendJson(response, 200, {});
    });
    this.app.post(`${ORDERS_PREFIX}cut`, () => this.cutConnections());
    this.server = createServer((request, response) => {
      void this.handle(request as Request, response as Response);
    });
  }

  /** Listens on the loopback address; port zero takes any free one. */
  async listen(port: number): Promise<number> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Cuts every connection without an answer. */
  cutConnections(): void {
    this.server.closeAllConnections();
  }

  /** Stops listening and cuts every connection. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  private async handle(request: Request, response: Response): Promise<void> {
    const url = request.url ?? '/';
    if (!url.startsWith(ORDERS_PREFIX)) {
      const rule = this.faults.take(`${request.method} ${url}`);
      if (rule && !(await FAULT_HANDLERS[rule.kind](rule, response))) return;
    }
    this.app.handler(request, response);
  }
}

/** Sends a JSON answer. */
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

/** Reads a whole body. */
export async function readText(request: Request): Promise<string> {
  const pieces: Buffer[] = [];
  for await (const piece of request as AsyncIterable<Buffer>) {
    pieces.push(piece);
  }
  return Buffer.concat(pieces).toString('utf8');
}

/** Reads a body as JSON. */
export async function readJson(request: Request): Promise<unknown> {
  return JSON.parse(await readText(request));
}
