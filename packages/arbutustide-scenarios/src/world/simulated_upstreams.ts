import type {
  AnswerBody,
  AttemptRequest,
  AttemptResult,
  CacheEvent,
  Engine,
  EngineOrder,
  EngineReport,
  HostList,
  OrderAnswer,
  PlainService,
  PlatformHost,
  ServiceReport,
  UpstreamAnswer,
  AttemptState,
} from '@arbutustide/upstream';
import type {
  StandInEngine,
  Generation,
  LaggedHostList,
  StandInService,
} from '@arbutustide/stand-ins';
import type {Result} from 'ts-results';

import type {NetworkCall, SimulatedNetwork} from './simulated_network.js';
import type {SimulatedProcess} from './simulated_process.js';

import {GenerationState} from '@arbutustide/stand-ins';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {Step} from './fault.js';
import {NetworkCallFailure} from './simulated_network.js';

const CALL_TIMEOUT_MILLISECONDS = 1_000;
const JSON_TYPE = 'application/json';
const STREAM_TYPE = 'text/event-stream';

/** The host of an upstream, with the stand-in that models the upstream. */
export interface SimulatedHost<Model> {
  readonly id: string;
  readonly model: Model;
  /** Whether the host accepts connections. */
  isUp: boolean;
}

const ATTEMPT_FAILURES: Readonly<Record<NetworkCallFailure, AttemptFailure>> = {
  [NetworkCallFailure.NOT_CONNECTED]: AttemptFailure.NOT_CONNECTED,
  [NetworkCallFailure.NO_REPLY]: AttemptFailure.INACTIVITY_TIMEOUT,
  [NetworkCallFailure.CONNECTION_CLOSED]: AttemptFailure.CONNECTION_LOST,
};

/** Common part of the clients that a simulated process has of its upstreams. */
class SimulatedUpstream<Model> {
  constructor(
    protected readonly host: SimulatedHost<Model>,
    protected readonly network: SimulatedNetwork,
    protected readonly process: SimulatedProcess,
  ) {}

  renewConnections(): void {}

  async close(): Promise<void> {}

  protected async callUpstream<T>(
    step: Step | undefined,
    timeoutMilliseconds: number,
    effect: NetworkCall<T>['effect'],
  ): Promise<Result<T, AttemptError>> {
    const result = await this.network.call({
      from: this.process,
      to: this.host.id,
      step,
      timeoutMilliseconds,
      isUp: () => this.host.isUp,
      effect,
    });
    return result.mapErr(toAttemptError);
  }

  /** Resolves to the answer, or to an error once the attempt is cancelled. */
  protected async raceCancellation(
    request: AttemptRequest,
    answer: AttemptResult,
  ): AttemptResult {
    const {signal} = request;
    if (signal.aborted) return Err(createCancellationError(signal));
    return new Promise(resolve => {
      const onAbort = () => resolve(Err(createCancellationError(signal)));
      signal.addEventListener('abort', onAbort, {once: true});
      void answer.then(result => {
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      });
    });
  }
}

/** The fields of a completion request that the simulated engine reads. */
interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream?: boolean;
}

/** Engine client of a simulated process. */
export class SimulatedEngine
  extends SimulatedUpstream<StandInEngine>
  implements Engine
{
  sendAttempt(request: AttemptRequest): AttemptResult {
    const answer = this.callUpstream(
      Step.SEND,
      request.inactivityTimeoutMilliseconds,
      () => this.startGeneration(request),
    );
    return this.raceCancellation(request, this.flattenResult(answer));
  }

  resumeStream(request: AttemptRequest, lastEventId: string): AttemptResult {
    const answer = this.callUpstream(
      undefined,
      CALL_TIMEOUT_MILLISECONDS,
      () => {
        const generation = this.host.model.findGeneration(request.attemptId);
        if (!generation) return Ok(createJsonAnswer(404, {}));
        const fromIndex = lastEventId === '' ? 0 : Number(lastEventId) + 1;
        return Ok(this.createStreamAnswer(request, generation, fromIndex));
      },
    );
    return this.raceCancellation(request, this.flattenResult(answer));
  }

  fetchAttemptState(
    attemptId: string,
  ): Promise<Result<AttemptState, AttemptError>> {
    return this.callUpstream(undefined, CALL_TIMEOUT_MILLISECONDS, () =>
      this.host.model.findAttemptState(attemptId),
    );
  }

  sendOrder(
    order: EngineOrder,
    timeoutMilliseconds: number,
  ): Promise<Result<OrderAnswer, AttemptError>> {
    return this.callUpstream(Step.ORDER, timeoutMilliseconds, () =>
      this.host.model.executeOrder(order),
    );
  }

  fetchReport(): Promise<Result<EngineReport, AttemptError>> {
    return this.callUpstream(Step.REPORT, CALL_TIMEOUT_MILLISECONDS, () =>
      this.host.model.createReport(),
    );
  }

  fetchCacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], AttemptError>> {
    return this.callUpstream(undefined, CALL_TIMEOUT_MILLISECONDS, () =>
      this.host.model.cacheEventsAfter(afterSequence),
    );
  }

  private async startGeneration(
    request: AttemptRequest,
  ): Promise<Result<UpstreamAnswer, AttemptError>> {
    const body = JSON.parse(
      Buffer.from(request.body ?? []).toString('utf8'),
    ) as CompletionRequest;
    const {model} = this.host;
    if (model.isLeaving) return Ok(createJsonAnswer(503, {}, true));
    if (!model.canServe(body.model)) return Ok(createJsonAnswer(404, {}));
    const generation = model.startGeneration({
      attemptId: request.attemptId,
      requestId: request.requestId,
      item: body.model,
      prompt: body.prompt,
      tokenCount: body.max_tokens,
      priority: request.priority,
    });
    if (body.stream) return Ok(this.createStreamAnswer(request, generation, 0));
    const tokens: string[] = [];
    const disconnected = this.createDisconnectionSignal(request);
    for await (const token of generation.readTokens(0, disconnected))
      tokens.push(token);
    if (generation.state !== GenerationState.COMPLETED)
      return Err(createConnectionClosedError());
    const text = tokens.join('');
    return Ok(createJsonAnswer(200, {choices: [{index: 0, text}]}));
  }

  private createStreamAnswer(
    request: AttemptRequest,
    generation: Generation,
    fromIndex: number,
  ): UpstreamAnswer {
    const disconnected = this.createDisconnectionSignal(request);
    const events = generateStreamEvents(generation, fromIndex, disconnected);
    return {
      status: 200,
      contentType: STREAM_TYPE,
      isLeaving: false,
      body: new SimulatedStreamBody(events, (step, effect) =>
        this.callUpstream(step, request.inactivityTimeoutMilliseconds, effect),
      ),
    };
  }

  /**
   * Returns a signal that is aborted when the reader disconnects from the
   * engine, because its process dies or it cancels the attempt.
   */
  private createDisconnectionSignal(request: AttemptRequest): AbortSignal {
    const disconnection = new AbortController();
    this.process.onDeath(() => disconnection.abort());
    request.signal.addEventListener('abort', () => disconnection.abort());
    return disconnection.signal;
  }

  private async flattenResult(
    answer: Promise<Result<Result<UpstreamAnswer, AttemptError>, AttemptError>>,
  ): AttemptResult {
    const callResult = await answer;
    return callResult.ok ? callResult.val : callResult;
  }
}

/** Reads the next event of a stream by a call over the network. */
type EventReader = (
  step: Step | undefined,
  effect: () => Promise<IteratorResult<string, GenerationState>>,
) => Promise<Result<IteratorResult<string, GenerationState>, AttemptError>>;

/** A streamed answer body; each chunk is read by a call over the network. */
class SimulatedStreamBody implements AnswerBody {
  private chunksRead = 0;

  constructor(
    private readonly events: AsyncGenerator<string, GenerationState>,
    private readonly readNextEvent: EventReader,
  ) {}

  async readChunk(): Promise<Result<Uint8Array | undefined, AttemptError>> {
    const step = STEP_BY_CHUNK_INDEX[this.chunksRead];
    this.chunksRead += 1;
    const next = await this.readNextEvent(step, () => this.events.next());
    if (!next.ok) return next;
    if (!next.val.done) return Ok(Buffer.from(next.val.value));
    if (next.val.value === GenerationState.COMPLETED) return Ok(undefined);
    return Err(createConnectionClosedError());
  }

  cancel(): void {
    void this.events.return(GenerationState.CANCELLED);
  }
}

/** Step of reading each chunk, by its index in the stream. */
const STEP_BY_CHUNK_INDEX: readonly (Step | undefined)[] = [
  Step.FIRST_BYTE,
  undefined,
  undefined,
  Step.MIDDLE,
  undefined,
  undefined,
  Step.END,
];

async function* generateStreamEvents(
  generation: Generation,
  fromIndex: number,
  disconnected: AbortSignal,
): AsyncGenerator<string, GenerationState> {
  let index = fromIndex;
  for await (const token of generation.readTokens(fromIndex, disconnected)) {
    const chunk = {choices: [{index: 0, text: token}]};
    yield `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
    index += 1;
  }
  if (generation.state === GenerationState.COMPLETED) {
    yield `id: ${index}\ndata: [DONE]\n\n`;
  }
  return generation.state;
}

/** Client of a plain service in a simulated process. */
export class SimulatedService
  extends SimulatedUpstream<StandInService>
  implements PlainService
{
  sendAttempt(request: AttemptRequest): AttemptResult {
    const answer = this.callUpstream(
      Step.SEND,
      request.inactivityTimeoutMilliseconds,
      () =>
        this.host.model.handleCall({
          requestId: request.requestId,
          attemptId: request.attemptId,
          method: request.method,
          path: request.path,
          body: Buffer.from(request.body ?? []).toString('utf8'),
        }),
    );
    return this.raceCancellation(request, this.toUpstreamAnswer(answer));
  }

  async fetchReport(): Promise<Result<ServiceReport, AttemptError>> {
    return this.callUpstream(Step.REPORT, CALL_TIMEOUT_MILLISECONDS, () =>
      this.host.model.createReport(),
    );
  }

  private async toUpstreamAnswer(
    answer: Promise<Result<object | undefined, AttemptError>>,
  ): AttemptResult {
    const result = await answer;
    if (!result.ok) return result;
    if (!result.val) return Err(createConnectionClosedError());
    return Ok(createJsonAnswer(200, result.val, this.host.model.isLeaving));
  }
}

/** Host list client of a simulated process. */
export class SimulatedHostList implements HostList {
  constructor(
    private readonly laggedHostList: LaggedHostList,
    private readonly network: SimulatedNetwork,
    private readonly process: SimulatedProcess,
  ) {}

  async fetchHosts(): Promise<Result<readonly PlatformHost[], AttemptError>> {
    const result = await this.network.call({
      from: this.process,
      to: 'host-list',
      step: Step.HOST_LIST,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      isUp: () => true,
      effect: () => this.laggedHostList.listVisibleHosts(),
    });
    return result.mapErr(toAttemptError);
  }
}

function createJsonAnswer(
  status: number,
  value: object,
  isLeaving = false,
): UpstreamAnswer {
  const chunks = [Buffer.from(JSON.stringify(value))];
  return {
    status,
    contentType: JSON_TYPE,
    isLeaving,
    body: {readChunk: async () => Ok(chunks.shift()), cancel: () => {}},
  };
}

function toAttemptError(failure: NetworkCallFailure): AttemptError {
  return new AttemptError(ATTEMPT_FAILURES[failure], failure);
}

function createConnectionClosedError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the connection was closed',
  );
}

function createCancellationError(signal: AbortSignal): AttemptError {
  if (signal.reason instanceof AttemptError) return signal.reason;
  return new AttemptError(
    AttemptFailure.CANCELLED,
    'the attempt was cancelled',
  );
}
