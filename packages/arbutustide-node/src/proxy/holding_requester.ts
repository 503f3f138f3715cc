import type {PromisedHolding, PromisedHoldings} from '@arbutustide/membership';
import type {
  ProxyUpstreamDirectory,
  ModelReference,
} from '@arbutustide/routing';

import type {ModelWaits} from './holdings/model_waits.js';
import type {PlannerClient} from './planner_client.js';

import {HoldingRequestSchema} from '@arbutustide/membership';
import {adapterEntryName, modelEntryName} from '@arbutustide/routing';
import {create} from '@bufbuild/protobuf';

import {PlannerCallPacer} from './holdings/planner_call_pacer.js';

/** Minimum time between two requests for the same adapter. */
const REQUEST_INTERVAL_MILLISECONDS = 250;
/**
 * Longest time between two requests while a holding is expected. Limits how long
 * a node goes by the answer of a planner that has been replaced.
 */
const MAXIMUM_REQUEST_INTERVAL_MILLISECONDS = 1_000;
/**
 * Minimum time between two calls for models only, and between two requests for
 * the same one. The planner's announcement takes about as long to come.
 */
const MODEL_REQUEST_INTERVAL_MILLISECONDS = 1_000;
/** Time in which the models of requests that arrive together are gathered. */
const MODEL_GATHERING_MILLISECONDS = 50;
/** How long a denial by the planner stays valid. */
const DENIAL_RETENTION_MILLISECONDS = 500;
/** Requests in one call; the others go in the next one. */
const MAXIMUM_REQUESTS_PER_CALL = 64;
/** Entries whose latest request is remembered; the oldest are dropped. */
const MAXIMUM_REQUEST_STATES = 4_096;

/** A model or adapter that requests of this node wait for. */
interface WantedHolding {
  readonly service: string;
  readonly name: ModelReference;
  /** Undefined if any will do. */
  readonly softwareVersion: string | undefined;
}

/** The latest request to the planner for one model or adapter. */
interface RequestState {
  isPending: boolean;
  /** When the request was sent or, once it has ended, when it ended. */
  updatedAtMilliseconds: number;
  /** When the holding is expected; `Infinity` if the planner denied it. */
  readyAtMilliseconds: number;
  /** When the first request without an answer was sent; undefined if none. */
  unansweredSinceMilliseconds: number | undefined;
}

/** The next call, while none is in flight. */
interface ScheduledCall {
  readonly atMilliseconds: number;
  readonly timer: NodeJS.Timeout;
}

/**
 * Asks the planner to load adapters that no upstream holds, all of them in one
 * call at a time. Models are loaded by the demand that nodes publish; the planner
 * is called for them only until it has announced them.
 */
export class HoldingRequester {
  private readonly requestStates = new Map<string, RequestState>();
  /** What the next call asks for, by key. */
  private readonly due = new Map<string, WantedHolding>();
  private readonly pacer = new PlannerCallPacer();
  private lastCallAtMilliseconds = -Infinity;
  private isCallPending = false;
  private scheduledCall: ScheduledCall | undefined;

  constructor(
    private readonly plannerClient: Pick<PlannerClient, 'requestHoldings'>,
    private readonly directory: ProxyUpstreamDirectory,
    private readonly modelWaits: ModelWaits,
  ) {}

  /**
   * Time until an upstream is expected to hold the model or adapter, in
   * milliseconds: zero if unknown, undefined if it will not be held. While no
   * planner answers, the wait is taken to be as long again as it has lasted so
   * far, so that requests do not wait for a planner that does not come back.
   */
  expectedWaitMilliseconds(
    service: string,
    name: ModelReference,
    softwareVersion?: string,
  ): number | undefined {
    const wanted = {service, name, softwareVersion};
    if (!this.isAdapterOfHeldModel(wanted))
      return this.modelWaits.expectedMilliseconds(service, name.model);
    const requestState = this.requestStates.get(requestKey(wanted));
    if (!requestState) return 0;
    const now = performance.now();
    const {readyAtMilliseconds, unansweredSinceMilliseconds} = requestState;
    if (readyAtMilliseconds < Infinity) {
      const unanswered = now - (unansweredSinceMilliseconds ?? now);
      return Math.max(0, readyAtMilliseconds - now, unanswered);
    }
    const isDenied =
      !requestState.isPending &&
      now - requestState.updatedAtMilliseconds < DENIAL_RETENTION_MILLISECONDS;
    return isDenied ? undefined : 0;
  }

  /**
   * Asks for a holding with the next call, unless a request is pending or was
   * made just now.
   *
   * @param softwareVersion version that the upstream must have; undefined if
   *     any will do.
   */
  requestHolding(
    service: string,
    name: ModelReference,
    softwareVersion?: string,
  ): void {
    const wanted = {service, name, softwareVersion};
    if (this.isAdapterOfHeldModel(wanted)) {
      this.addToNextCall(wanted);
      return;
    }
    // Models are not loaded by version.
    if (softwareVersion !== undefined) return;
    const {model} = name;
    this.modelWaits.recordWanted(service, model);
    if (this.modelWaits.isUnannounced(service, model))
      this.addToNextCall({...wanted, name: {model, adapter: undefined}});
  }

  private isAdapterOfHeldModel({
    service,
    name: {model, adapter},
    softwareVersion,
  }: WantedHolding): boolean {
    if (adapter === undefined) return false;
    for (const upstream of this.directory.listByService(service)) {
      const hasVersion =
        softwareVersion === undefined ||
        upstream.description.softwareVersion === softwareVersion;
      if (hasVersion && upstream.isReady && upstream.holdsModel(model))
        return true;
    }
    return false;
  }

  private addToNextCall(wanted: WantedHolding): void {
    const key = requestKey(wanted);
    const previous = this.requestStates.get(key);
    if (previous?.isPending) return;
    if (previous && performance.now() < nextRequestAt(previous, wanted)) return;
    this.due.set(key, wanted);
    this.scheduleCall();
  }

  /** Calls after this turn, in which more may come to be wanted. */
  private scheduleCall(): void {
    if (this.isCallPending || this.due.size === 0) return;
    const atMilliseconds = this.nextCallAtMilliseconds();
    const {scheduledCall} = this;
    if (scheduledCall && scheduledCall.atMilliseconds <= atMilliseconds) return;
    clearTimeout(scheduledCall?.timer);
    const pause = Math.max(0, atMilliseconds - performance.now());
    this.scheduledCall = {
      atMilliseconds,
      timer: setTimeout(() => void this.call(), pause),
    };
  }

  private nextCallAtMilliseconds(): number {
    let at = Math.max(
      performance.now() + MODEL_GATHERING_MILLISECONDS,
      this.pacer.nextCallAtMilliseconds,
      this.lastCallAtMilliseconds + MODEL_REQUEST_INTERVAL_MILLISECONDS,
    );
    for (const {name} of this.due.values()) {
      if (name.adapter !== undefined) at = this.pacer.nextCallAtMilliseconds;
    }
    return at;
  }

  private async call(): Promise<void> {
    const wanted = [...this.due.values()].slice(0, MAXIMUM_REQUESTS_PER_CALL);
    const states = wanted.map(holding => this.beginRequest(holding));
    this.scheduledCall = undefined;
    this.isCallPending = true;
    this.lastCallAtMilliseconds = performance.now();
    let answers: PromisedHoldings | undefined;
    try {
      const response = await this.plannerClient.requestHoldings(
        wanted.map(toRequest),
      );
      answers = response.unwrapOr(undefined);
    } finally {
      this.endCall(wanted, states, answers);
    }
  }

  /** @param answers undefined if the call failed. */
  private endCall(
    wanted: readonly WantedHolding[],
    states: readonly RequestState[],
    answers: PromisedHoldings | undefined,
  ): void {
    this.isCallPending = false;
    this.pacer.recordCall(this.lastCallAtMilliseconds, answers !== undefined);
    for (const [index, state] of states.entries()) {
      state.isPending = false;
      state.updatedAtMilliseconds = performance.now();
      // Without a reachable planner the wait is unknown: requests stay queued.
      if (answers) this.applyAnswer(wanted[index].name, state, answers[index]);
    }
    if (answers?.includes(undefined)) this.directory.notifyListeners();
    this.scheduleCall();
  }

  private beginRequest(wanted: WantedHolding): RequestState {
    const key = requestKey(wanted);
    const previous = this.requestStates.get(key);
    const now = performance.now();
    const state: RequestState = {
      isPending: true,
      updatedAtMilliseconds: now,
      readyAtMilliseconds: findReadyAt(previous, now),
      unansweredSinceMilliseconds: previous?.unansweredSinceMilliseconds ?? now,
    };
    this.due.delete(key);
    this.requestStates.delete(key);
    const [oldest] = this.requestStates.keys();
    if (this.requestStates.size >= MAXIMUM_REQUEST_STATES)
      this.requestStates.delete(oldest);
    this.requestStates.set(key, state);
    return state;
  }

  private applyAnswer(
    name: ModelReference,
    requestState: RequestState,
    holding: PromisedHolding | undefined,
  ): void {
    requestState.unansweredSinceMilliseconds = undefined;
    requestState.readyAtMilliseconds = holding
      ? performance.now() + holding.readyInMilliseconds
      : Infinity;
    if (!holding) return;
    const {upstreamId, readyInMilliseconds} = holding;
    const isReadyBeforeNextRequest =
      readyInMilliseconds <= REQUEST_INTERVAL_MILLISECONDS;
    if (upstreamId === '' || !isReadyBeforeNextRequest) return;
    setTimeout(() => {
      this.directory.get(upstreamId)?.recordObservedHolding(name, true);
      this.directory.notifyListeners();
    }, readyInMilliseconds);
  }
}

/** When a holding is expected while the planner is asked for it again. */
function findReadyAt(previous: RequestState | undefined, now: number): number {
  const readyAt = previous?.readyAtMilliseconds ?? now;
  return readyAt < Infinity ? readyAt : now;
}

/**
 * A holding that takes long is asked for less often: every node asks for what its
 * requests wait for, and one planner answers them all.
 */
function nextRequestAt(
  {updatedAtMilliseconds, readyAtMilliseconds}: RequestState,
  {name: {adapter}}: WantedHolding,
): number {
  if (adapter === undefined)
    return updatedAtMilliseconds + MODEL_REQUEST_INTERVAL_MILLISECONDS;
  const expectedMilliseconds = readyAtMilliseconds - updatedAtMilliseconds;
  const interval =
    expectedMilliseconds < Infinity
      ? Math.min(
          expectedMilliseconds / 2,
          MAXIMUM_REQUEST_INTERVAL_MILLISECONDS,
        )
      : 0;
  return (
    updatedAtMilliseconds + Math.max(interval, REQUEST_INTERVAL_MILLISECONDS)
  );
}

function requestKey({
  service,
  name: {model, adapter},
  softwareVersion = '',
}: WantedHolding): string {
  const entryName =
    adapter === undefined
      ? modelEntryName(service, model)
      : adapterEntryName(service, model, adapter);
  return `${entryName} ${softwareVersion}`;
}

function toRequest({
  service,
  name: {model, adapter = ''},
  softwareVersion = '',
}: WantedHolding) {
  return create(HoldingRequestSchema, {
    service,
    model,
    adapter,
    softwareVersion,
  });
}
