// Stand-in of a worker on the platform's protocol: plain answers and streams
// of events, reports and orders, entry in the store with heartbeats.
import {once} from 'node:events';
import {createServer} from 'node:http';

const HEARTBEAT_MILLISECONDS = 1_200;
/** An entry is removed after three heartbeat intervals of silence. */
const LAPSE_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;

let bornCount = 0;

/** Records what workers ran; one log for all workers of a script. */
export class RunLog {
  constructor() {
    this.arrivals = [];
  }

  add(entry) {
    const run = {atMilliseconds: performance.now(), ...entry};
    this.arrivals.push(run);
    return run;
  }
}

/**
 * Options: service, zone, slots, models (names that are loaded), version (of its
 * software), workMilliseconds and answerBytes (of a plain request), events (of a
 * stream; a function of the run), eventMilliseconds, crashesOn (whether a
 * request crashes the worker when it begins to run), restartMilliseconds (from a
 * crash to the next start).
 */
export class Worker {
  constructor(name, options, store, runLog) {
    this.name = name;
    this.options = {slots: 6, queue: 24, workMilliseconds: 20, ...options};
    this.store = store;
    this.runLog = runLog;
    this.incarnation = 0;
    this.crashes = 0;
    this.sockets = new Set();
    this.timers = new Set();
    this.port = 0;
    this.isClosed = false;
  }

  async start() {
    this.incarnation += 1;
    this.id = `${this.name}-i${this.incarnation}`;
    bornCount += 1;
    this.born = Date.now() + bornCount;
    this.sequence = 0;
    this.orders = 0;
    this.fence = 0;
    this.state = 'ready';
    this.running = 0;
    this.waiting = [];
    this.server = createServer({keepAliveTimeout: 15_000}, (request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
    await listenAt(this.server, this.port);
    this.port = this.server.address().port;
    this.heartbeat();
    this.beat = setInterval(() => this.heartbeat(), HEARTBEAT_MILLISECONDS);
  }

  close() {
    this.isClosed = true;
    clearInterval(this.beat);
    for (const timer of this.timers) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends as a process that crashes; another incarnation comes later. */
  crash() {
    if (!this.server.listening) return;
    this.crashes += 1;
    clearInterval(this.beat);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    const {id} = this;
    this.later(() => this.store.remove('servers', id), LAPSE_MILLISECONDS);
    this.later(() => this.start(), this.options.restartMilliseconds ?? 3_000);
  }

  /** Reports `draining`, serves for that long, and exits. */
  drain(servesMilliseconds) {
    this.state = 'draining';
    this.heartbeat();
    this.later(() => {
      clearInterval(this.beat);
      this.store.remove('servers', this.id);
      this.server.close();
      for (const socket of this.sockets) socket.resetAndDestroy();
    }, servesMilliseconds);
  }

  /**
   * Leaves without reporting `draining`: its entry is removed now, it goes on
   * serving for that long, and then exits.
   */
  leave(servesMilliseconds) {
    clearInterval(this.beat);
    this.store.remove('servers', this.id);
    this.later(() => {
      this.hasExited = true;
      this.server.close();
      for (const socket of this.sockets) socket.resetAndDestroy();
    }, servesMilliseconds);
  }

  later(action, milliseconds) {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (!this.isClosed) action();
    }, milliseconds);
    this.timers.add(timer);
  }

  heartbeat() {
    this.sequence += 1;
    const {service, zone, slots, version = 'v1', models = []} = this.options;
    this.store.put('servers', this.id, {
      service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version,
      slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
      models: models.map(name => ({name, version: 1, adapters: []})),
      at_hand: {in_memory: [...models], on_disk: [...models]},
    });
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const {headers, method, url} = request;
    const requestId = headers['request-attempt-id'];
    const common = {'Instance-Load': `${this.running},${this.waiting.length},${this.options.slots}`};
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {...common, 'Not-Executed': '1'}).end();
      return;
    }
    if (url === '/report') return this.report(response);
    if (url === '/order') return this.order(response, JSON.parse(body));
    if (requestId === undefined) {
      response.writeHead(400, {...common, 'Not-Executed': '1'}).end();
      return;
    }
    const deadlineAt = performance.now() + Number(headers['deadline-ms'] ?? 60_000);
    const entry = {worker: this.name, instance: this.id, requestId, method, url, headers, body: body.toString()};
    if (!(await this.admit(response, deadlineAt))) {
      if (response.destroyed) return;
      response.writeHead(503, {
        ...common,
        'Request-Attempt-Id': requestId,
        'Not-Executed': '1',
      });
      response.end();
      return;
    }
    const run = this.runLog.add(entry);
    try {
      if (this.options.crashesOn?.(entry)) {
        run.crashed = true;
        this.crash();
        return;
      }
      const answerHeaders = {
        ...common,
        'Request-Attempt-Id': requestId,
        'Response-Stamp': `stamp.${this.id}.${requestId}`,
      };
      if (headers.model) await this.stream(request, response, answerHeaders, run, deadlineAt);
      else await this.plain(response, answerHeaders, run, deadlineAt);
    } finally {
      run.endedAtMilliseconds = performance.now();
      this.running -= 1;
      this.waiting.shift()?.(true);
    }
  }

  /** Waits for a slot; false if the queue is full or the deadline has passed. */
  async admit(response, deadlineAt) {
    const {slots, queue} = this.options;
    if (this.running >= slots) {
      if (this.waiting.length >= queue) return false;
      const isGranted = await new Promise(resolve => {
        this.waiting.push(resolve);
        setTimeout(() => {
          const index = this.waiting.indexOf(resolve);
          if (index < 0) return;
          this.waiting.splice(index, 1);
          resolve(false);
        }, Math.max(0, deadlineAt - performance.now()));
      });
      if (!isGranted) return false;
    }
    this.running += 1;
    if (!response.destroyed && performance.now() < deadlineAt) return true;
    this.running -= 1;
    this.waiting.shift()?.(true);
    return false;
  }

  async plain(response, headers, run, deadlineAt) {
    const {workMilliseconds, answerBytes = 800} = this.options;
    const left = deadlineAt - performance.now();
    await pause(Math.min(workMilliseconds, Math.max(0, left)));
    if (response.destroyed) {
      run.dropped = true;
      return;
    }
    const isLate = left < workMilliseconds;
    const text = isLate ? '' : `done ${run.requestId}\n`.padEnd(answerBytes, '.');
    response.writeHead(isLate ? 504 : 200, {
      ...headers,
      'Content-Type': 'text/plain',
      'Content-Length': text.length,
    });
    response.end(text);
    run.answered = true;
  }

  async stream(request, response, headers, run, deadlineAt) {
    const {events, eventMilliseconds} = this.options;
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const last = events(run);
    response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream', 'Weight-Versions': '1'});
    for (let id = first; id <= last; id += 1) {
      await pause(eventMilliseconds);
      if (response.destroyed) {
        run.dropped = true;
        return;
      }
      if (performance.now() >= deadlineAt) {
        request.socket.resetAndDestroy();
        return;
      }
      const {version = 'v1'} = this.options;
      response.write(`id: ${id}\ndata: ${version} ${id}/${last}\n\n`);
      run.events = id;
    }
    response.end();
    run.answered = true;
  }

  report(response) {
    const {models = []} = this.options;
    sendJson(response, 200, {
      stage: 'both',
      models: models.map(name => ({name, version: 1, adapters: []})),
      busy: false,
      sequence: this.orders,
      waiting: this.waiting.length,
      running: this.running,
      kv_cache_used: 0,
      kv_cache_total: 171_517,
      handles: 0,
    });
  }

  order(response, {holder, fence, expected, operation}) {
    if (holder === undefined || fence === undefined)
      return sendJson(response, 400, {});
    if (fence < this.fence) return sendJson(response, 412, {});
    this.fence = fence;
    if (expected !== undefined && expected !== this.orders)
      return sendJson(response, 409, {});
    return sendJson(response, operation === 'load' ? 200 : 409, {});
  }
}

/** Listens at a port, or at another if it has been taken meanwhile. */
async function listenAt(server, port) {
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
  } catch {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
}

export function pause(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
