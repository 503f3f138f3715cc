import type {Request, Response} from '@tinyhttp/app';
import type {RefusalError as Refusal} from '@arbutustide/errors';
import type {CallerRequest} from '@arbutustide/routing';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Result} from 'ts-results';

import type {AuthenticatedRequest} from './read_caller_request.js';
import type {BoundedCallers} from './bounds/bound_callers.js';
import type {NodeCore} from './node_core.js';
import type {NodeDependencies} from './node_dependencies.js';

import {once} from 'node:events';
import {createServer} from 'node:http';

import {isIdempotent} from '@arbutustide/catalogue';
import {
  ErrorKind,
  InvariantError,
  createBusyRefusal,
  createStoppingRefusal,
  RefusalError,
} from '@arbutustide/errors';
import {ArrivalTimes, turnQueue} from '@arbutustide/event-loop';
import {App} from '@tinyhttp/app';
import {Err, Ok} from 'ts-results';

import {createBodyLimits} from './body_limits.js';
import {boundCallers} from './bounds/bound_callers.js';
import {BoundRecorder} from './bounds/bound_recorder.js';
import {
  createProcessBounds,
  DEFAULT_RESOURCES,
} from './bounds/process_bounds.js';
import {CallerConnections} from './caller_connections.js';
import {AnswerWriter, writeRefusal} from './answer_writer.js';
import {
  readCompletionRequest,
  readServiceRequest,
} from './read_caller_request.js';
import {listModels} from './model_list.js';
import {formatParserErrorAnswer} from './parser_error_answer.js';
import {authenticateCaller, getRequestId} from './caller_authentication.js';
import {drainCallers} from './drain_callers.js';
import {watchDisconnection} from './watch_disconnection.js';

/** Interval at which connections are checked against the header timeout. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;
const SERVICES_PREFIX = '/services/';

type RequestReader = (
  request: AuthenticatedRequest,
) => Promise<Result<CallerRequest, Refusal>>;

/** HTTP server for callers: completions, services, models and health. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly bounded: BoundedCallers;
  private readonly arrivalTimes = new ArrivalTimes();
  /** Whether this node only ends what it has taken. */
  private isRefusing = false;

  constructor(
    private readonly core: NodeCore,
    private readonly dependencies: NodeDependencies,
  ) {
    const {callers} = dependencies.settings;
    const app = this.createApp();
    this.server = createServer(
      {
        maxHeaderSize: callers.headerLimitBytes,
        headersTimeout: callers.headerTimeoutMilliseconds,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
      },
      (request, response) => {
        if (!this.bounded.connectionBounds.admit(request, response)) return;
        app.handler(request as Request, response as Response);
      },
    );
    this.connections = new CallerConnections(this.server);
    const {metrics, logger} = dependencies;
    const bounds = createProcessBounds(DEFAULT_RESOURCES);
    const recorder = new BoundRecorder(metrics, logger);
    this.bounded = boundCallers(
      this.server,
      {bounds, recorder},
      {
        close: socket => this.connections.closeAfterAnswer(socket),
        refuse: (request, response) => this.refuseBusy(request, response),
      },
    );
    this.server.on('connection', socket =>
      this.arrivalTimes.recordConnection(socket),
    );
    this.server.on('clientError', (error, socket) =>
      this.respondToParserError(error, socket as Socket),
    );
  }

  /** Number of requests that have arrived and are not fully answered. */
  get inFlightCount(): number {
    return this.connections.answersInFlight;
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

  /** From now on answers announce the end of their connections. */
  beginClosingIdle(): void {
    this.connections.beginClosingIdle();
  }

  /**
   * Refuses new requests and waits for those in flight, then closes all
   * connections. New ones are accepted meanwhile, so that what comes on them is
   * refused rather than reset.
   *
   * @param drainMilliseconds time after which answers are cut off.
   */
  async close(drainMilliseconds = Infinity): Promise<void> {
    if (!this.server.listening || this.isRefusing) return;
    this.isRefusing = true;
    const {connections} = this;
    connections.beginClosingIdle();
    const deadlineAtMilliseconds = performance.now() + drainMilliseconds;
    await drainCallers({connections, deadlineAtMilliseconds});
    this.refuseUnanswered();
    connections.stopListening();
    await connections.closeAll();
    const {summary} = connections;
    this.dependencies.logger.info(summary, 'connections of callers closed');
  }

  /** Tells callers that the requests in flight will have no answer. */
  private refuseUnanswered(): void {
    const reason = 'this node stops and cannot wait for the answer any longer';
    const refusal = new RefusalError(ErrorKind.UPSTREAM_TIMED_OUT, reason);
    for (const response of this.connections.openAnswers())
      if (!response.headersSent)
        this.sendRefusal(response.req, response, refusal);
  }

  private createApp(): App {
    const app = new App({
      applyExtensions: (_request, _response, next) => next(),
      settings: {xPoweredBy: false},
      noMatchHandler: (request, response) =>
        this.sendRefusal(
          request,
          response,
          new RefusalError(
            ErrorKind.UNKNOWN_ROUTE,
            `there is no route for ${request.method} ${request.path}`,
          ),
        ),
      onError: (error, request, response) =>
        this.handleUnexpectedError(error, request, response),
    });
    app.get('/healthz', (_request, response) => {
      response.end('alive\n');
    });
    app.get('/readyz', (_request, response) => {
      response.statusCode = this.core.isReady ? 200 : 503;
      response.end(this.core.isReady ? 'ready\n' : 'not ready\n');
    });
    app.get('/v1/models', (request, response) =>
      this.serveModels(request, response),
    );
    app.get('/v1/models/:model', (request, response) =>
      this.serveModels(request, response, request.params['model']),
    );
    app.post('/v1/chat/completions', (request, response) =>
      this.serveRequest(request, response, readCompletionRequest),
    );
    app.post('/v1/completions', (request, response) =>
      this.serveRequest(request, response, readCompletionRequest),
    );
    app.all(`${SERVICES_PREFIX}:entry/*`, (request, response) =>
      this.serveServiceRequest(request, response),
    );
    app.all(`${SERVICES_PREFIX}:entry`, (request, response) =>
      this.serveServiceRequest(request, response),
    );
    return app;
  }

  private serveServiceRequest(
    request: Request,
    response: Response,
  ): Promise<void> {
    const servicePath = (request.originalUrl ?? request.url ?? '').slice(
      SERVICES_PREFIX.length,
    );
    const entryName = request.params['entry'];
    const path = servicePath.slice(entryName.length);
    return this.serveRequest(request, response, authenticated =>
      readServiceRequest(
        authenticated,
        entryName,
        path.startsWith('/') ? path : `/${path}`,
      ),
    );
  }

  /** Serves one request and counts it as in flight while it is served. */
  private async serveRequest(
    request: Request,
    response: Response,
    readRequest: RequestReader,
  ): Promise<void> {
    this.dependencies.metrics.requestsInFlight.inc();
    try {
      await this.dispatchAndAnswer(request, response, readRequest);
    } finally {
      this.dependencies.metrics.requestsInFlight.dec();
    }
  }

  /** Authenticates, validates, dispatches and answers one request. */
  private async dispatchAndAnswer(
    request: Request,
    response: Response,
    readRequest: RequestReader,
  ): Promise<void> {
    const incoming = this.authenticate(request, response);
    if (!incoming.ok) return this.sendRefusal(request, response, incoming.val);
    const callerRequest = await readRequest(incoming.val);
    if (!callerRequest.ok) {
      return this.sendRefusal(request, response, callerRequest.val);
    }
    const {disconnection} = incoming.val;
    const callerSeenAtMilliseconds = await turnQueue.nextTurn(
      () => !disconnection.isCancelled,
      request.socket,
    );
    if (disconnection.isCancelled) {
      const reason = 'the caller left before its request was read';
      const refusal = new RefusalError(ErrorKind.CALLER_GONE, reason);
      return this.sendRefusal(request, response, refusal);
    }
    const answer = await this.core.dispatcher.dispatch({
      ...callerRequest.val,
      callerSeenAtMilliseconds,
    });
    if (!answer.ok) return this.sendRefusal(request, response, answer.val);
    const {entry, method, caller, requestClass} = callerRequest.val;
    const writer = new AnswerWriter(
      response,
      callerRequest.val,
      this.dependencies.metrics,
      incoming.val.arrivedAtMilliseconds,
      !isIdempotent(entry, method),
    );
    const end = await writer.write(answer.val);
    this.dependencies.metrics.answers.inc({
      tenant: caller,
      class: requestClass.name,
      end,
    });
    this.dependencies.logger.debug(
      {
        requestId: callerRequest.val.requestId,
        entry: entry.name,
        upstream: answer.val.upstreamId,
        status: answer.val.status,
        end,
      },
      'answered',
    );
  }

  private authenticate(
    request: Request,
    response: Response,
  ): Result<AuthenticatedRequest, Refusal> {
    const arrivedAtMilliseconds = this.arrivalTimes.takeArrival(request.socket);
    const catalogue = this.core.catalogueHolder.current;
    if (!catalogue) {
      return Err(
        new RefusalError(
          ErrorKind.NOT_READY,
          'no catalogue revision is active yet',
        ),
      );
    }
    const caller = authenticateCaller(request, catalogue);
    if (!caller.ok) return caller;
    if (this.isRefusing) return Err(createStoppingRefusal());
    return Ok({
      message: request,
      requestId: getRequestId(request),
      caller: caller.val,
      catalogue,
      arrivedAtMilliseconds,
      disconnection: watchDisconnection(request.socket, response),
      readBody: () => {
        const limits = createBodyLimits(this.dependencies.settings);
        return this.bounded.bodies.read(request, response, limits);
      },
    });
  }

  private serveModels(
    request: Request,
    response: Response,
    model?: string,
  ): void {
    const incoming = this.authenticate(request, response);
    if (!incoming.ok) return this.sendRefusal(request, response, incoming.val);
    const {catalogue, caller} = incoming.val;
    const models = listModels(catalogue, caller);
    response.setHeader('content-type', 'application/json');
    if (model === undefined) {
      response.end(JSON.stringify({object: 'list', data: models}));
      return;
    }
    const listedModel = models.find(({id}) => id === model);
    if (listedModel) {
      response.end(JSON.stringify(listedModel));
      return;
    }
    const message = `there is no model "${model}"`;
    this.sendRefusal(
      request,
      response,
      new RefusalError(ErrorKind.UNKNOWN_ENTRY, message),
    );
  }

  private sendRefusal(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    const requestId = getRequestId(request);
    this.dependencies.logger.info(
      {requestId, kind: refusal.kind, ran: refusal.ran, why: refusal.message},
      'refused',
    );
    if (!request.complete) response.setHeader('connection', 'close');
    const {metrics} = this.dependencies;
    writeRefusal(response, refusal, requestId, metrics);
  }

  private refuseBusy(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader('connection', 'close');
    this.sendRefusal(request, response, createBusyRefusal());
  }

  /** Logs an error that no refusal covers and answers it as internal. */
  private handleUnexpectedError(
    error: unknown,
    request: Request,
    response: Response,
  ): void {
    const message =
      error instanceof InvariantError
        ? 'invariant violated while serving a request'
        : 'unexpected error while serving a request';
    this.dependencies.logger.error({err: error}, message);
    this.sendRefusal(
      request,
      response,
      new RefusalError(
        ErrorKind.INTERNAL,
        'internal error: see the log of this node',
      ),
    );
  }

  /**
   * Answers input that the HTTP parser rejects: malformed requests, and headers
   * that are too large or too slow. Written to the raw socket, because there is
   * no response object.
   */
  private respondToParserError(
    error: Error & {code?: string},
    socket: Socket,
  ): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    socket.write(formatParserErrorAnswer(error.code));
    this.connections.closeAfterAnswer(socket);
  }
}
