// Stand-in of the platform's metadata store: objects, lists, watches and
// conditional writes, as PROTOCOL.md describes them.
import {once} from 'node:events';
import {createServer} from 'node:http';

const PAGE_ITEMS = 500;

export class PlatformStore {
  constructor() {
    this.revision = 7;
    this.era = 1;
    this.items = new Map();
    this.events = [];
    this.compactedRevision = 0;
    this.waiting = new Set();
    /** Watches that wait for events. */
    this.waitingWatches = new Set();
    this.servers = [];
    /** Addresses whose callers are turned away with 503. */
    this.closedAddresses = new Set();
  }

  /** Turns the callers at an address away, or serves them again. */
  setClosed(address, isClosed) {
    if (isClosed) this.closedAddresses.add(address);
    else this.closedAddresses.delete(address);
    for (const wake of [...this.waiting]) wake();
  }

  isClosedTo({localAddress, localPort}) {
    return this.closedAddresses.has(`${localAddress}:${localPort}`);
  }

  /** Listens on a further address and returns it; the first is `address`. */
  async listen(host = '127.0.0.1') {
    const server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    server.listen(0, host);
    await once(server, 'listening');
    this.servers.push(server);
    const address = `${host}:${server.address().port}`;
    this.address ??= address;
    return address;
  }

  close() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes an object as the operator or a worker. */
  put(kind, name, specification) {
    return this.write(kind, name, specification, []);
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const object = this.items.get(key);
    if (!object) return;
    this.items.delete(key);
    this.revision += 1;
    this.addEvent({kind, revision: this.revision, removed: true, object});
  }

  get(kind, name) {
    return this.items.get(`${kind}/${name}`);
  }

  write(kind, name, specification, finalizers) {
    const key = `${kind}/${name}`;
    const known = this.items.get(key);
    if (
      known &&
      JSON.stringify(known.specification) === JSON.stringify(specification)
    )
      return known;
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers,
        deleting: false,
      },
      specification,
      status: known?.status ?? null,
    };
    this.items.set(key, object);
    this.addEvent({kind, revision: this.revision, removed: false, object});
    return object;
  }

  addEvent(event) {
    this.events.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', rawName, part] = url.pathname.split('/');
    const name = rawName && decodeURIComponent(rawName);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isClosedTo(request.socket)) {
      response.writeHead(503, {'Store-Era': String(this.era)}).end('{}');
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const [status, answer] = await this.answer(request.method, {
      kind,
      name,
      part,
      query: url.searchParams,
      body,
      response,
    });
    if (response.destroyed) return;
    if (request.method === 'GET' && this.isClosedTo(request.socket)) {
      response.writeHead(503, {'Store-Era': String(this.era)}).end('{}');
      return;
    }
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(JSON.stringify(answer));
  }

  answer(method, call) {
    if (method === 'POST') return this.create(call);
    if (method === 'PUT') return this.replace(call);
    if (method === 'DELETE') return this.delete(call);
    if (call.name !== undefined) {
      const item = this.get(call.kind, call.name);
      return item ? [200, item] : [404, {}];
    }
    const watch = call.query.get('watch');
    return watch === null ? this.list(call) : this.watch(call, Number(watch));
  }

  list({kind, query}) {
    const after = query.get('after') ?? '';
    const matching = [...this.items]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, item]) => item)
      .filter(({metadata}) => metadata.name > after)
      .sort((left, right) =>
        left.metadata.name < right.metadata.name ? -1 : 1,
      );
    return [
      200,
      {
        items: matching.slice(0, PAGE_ITEMS),
        truncated: matching.length > PAGE_ITEMS,
        current_rev: this.revision,
      },
    ];
  }

  /** Cuts off the waiting watches of a kind at one address; returns how many. */
  cutOffWatches(address, kind) {
    let count = 0;
    for (const watch of this.waitingWatches) {
      if (watch.kind !== kind || !address.endsWith(`:${watch.port}`)) continue;
      watch.response.socket.destroy();
      count += 1;
    }
    return count;
  }

  async watch(call, after) {
    const {kind, response} = call;
    const watch = {kind, response, port: response.socket.localPort};
    this.waitingWatches.add(watch);
    try {
      return await this.awaitEvents(call, after);
    } finally {
      this.waitingWatches.delete(watch);
    }
  }

  async awaitEvents({kind, query, response}, after) {
    const endAt = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (after < this.compactedRevision || after > this.revision)
        return [410, {}];
      const events = this.events.filter(
        event => event.kind === kind && event.revision > after,
      );
      const left = endAt - performance.now();
      const isOver = response.destroyed || this.isClosedTo(response.socket);
      if (events.length > 0 || left <= 0 || isOver)
        return [
          200,
          {
            events: events.map(({removed, object}) => ({removed, object})),
            current_rev: this.revision,
          },
        ];
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiting.add(wake);
      });
    }
  }

  create({kind, body}) {
    const name = body.metadata?.name ?? '';
    const existing = this.get(kind, name);
    if (existing) return [409, existing];
    const finalizers = body.metadata?.finalizers ?? [];
    return [200, this.write(kind, name, body.specification, finalizers)];
  }

  replace({kind, name, part, body}) {
    const existing = this.get(kind, name);
    if (!existing) return [404, {}];
    const expected = body.metadata?.revision;
    if (expected !== undefined && expected !== existing.metadata.revision)
      return [409, existing];
    if (part === 'status') {
      existing.status = body.status;
      return [200, existing];
    }
    const finalizers = body.metadata?.finalizers ?? [];
    return [200, this.write(kind, name, body.specification, finalizers)];
  }

  delete({kind, name, query}) {
    const existing = this.get(kind, name);
    if (!existing) return [404, {}];
    const expected = query.get('revision');
    if (expected !== null && Number(expected) !== existing.metadata.revision)
      return [409, existing];
    this.remove(kind, name);
    return [200, {}];
  }
}
