import type {Request, Response} from '@tinyhttp/app';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {NodeCore} from './node_core.js';
import type {NodeDependencies} from './node_dependencies.js';

import {once} from 'node:events';
import {createServer} from 'node:http';

import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {App} from '@tinyhttp/app';

import {writeRefusal} from './answer_writer.js';
import {BoundRecorder, ServerName} from './bounds/bound_recorder.js';
import {ConnectionBounds} from './bounds/connection_bounds.js';
import {
  boundStatusServer,
  createProcessBounds,
  DEFAULT_RESOURCES,
} from './bounds/process_bounds.js';
import {shareWhilePending} from './bounds/share_while_pending.js';
import {CallerConnections} from './caller_connections.js';
import {explainEntry} from './explain_entry.js';

/**
 * HTTP server for operators: Prometheus metrics at `/metrics`, and at
 * `/explain/:entry` how this node would route a request to a catalogue entry.
 */
export class ControlServer {
  private readonly server: Server;

  constructor(core: NodeCore, dependencies: NodeDependencies) {
    const {metrics, settings} = dependencies;
    const app = new App({
      applyExtensions: (_request, _response, next) => next(),
      settings: {xPoweredBy: false},
    });
    const renderMetrics = shareWhilePending(() => metrics.registry.metrics());
    app.get('/metrics', async (_request, response) => {
      response.setHeader('content-type', metrics.registry.contentType);
      response.end(await renderMetrics());
    });
    app.get('/explain/:entry', (request, response) => {
      const name = request.params['entry'];
      const entry = core.catalogueHolder.current?.findEntry(name);
      if (!entry) {
        const refusal = new RefusalError(
          ErrorKind.UNKNOWN_ENTRY,
          `there is no entry "${name}"`,
        );
        return writeRefusal(response, refusal, '', metrics);
      }
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(explainEntry(entry, core, settings)));
    });
    this.server = createServer((request, response) => {
      if (!bounds.admit(request, response)) return;
      app.handler(request as Request, response as Response);
    });
    const connections = new CallerConnections(this.server);
    const bounds = new ConnectionBounds(this.server, {
      name: ServerName.CONTROL,
      bounds: boundStatusServer(createProcessBounds(DEFAULT_RESOURCES)),
      recorder: new BoundRecorder(metrics, dependencies.logger),
      close: socket => connections.closeAfterAnswer(socket),
      replacesWaiting: true,
    });
  }

  /**
   * Starts to listen on an address.
   *
   * @param port port number, or zero for any free port.
   * @return the port number in use.
   */
  async listen(address: string, port: number): Promise<number> {
    this.server.listen(port, address);
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all open connections. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }
}
