import type {
  ProxyUpstreamDirectory,
  ModelReference,
} from '@arbutustide/routing';

import type {PlannerClient} from './planner_client.js';

import {adapterEntryName, modelEntryName} from '@arbutustide/routing';

/** Minimum time between two requests for the same holding. */
const REQUEST_INTERVAL_MILLISECONDS = 250;
/**
 * Longest time between two requests while a holding is expected. Limits how long
 * a node goes by the answer of a planner that has been replaced.
 */
const MAXIMUM_REQUEST_INTERVAL_MILLISECONDS = 1_000;
/** How long a denial by the planner stays valid. */
const DENIAL_RETENTION_MILLISECONDS = 500;

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

/** Asks the planner to load models and adapters that no upstream holds. */
export class HoldingRequester {
  private readonly requestStates = new Map<string, RequestState>();

  constructor(
    private readonly plannerClient: PlannerClient,
    private readonly directory: ProxyUpstreamDirectory,
  ) {}

  /**
   * Time until an upstream is expected to hold the model or adapter, in
   * milliseconds: zero if unknown, undefined if the planner denied it. While no
   * planner answers, the wait is taken to be as long again as it has lasted so
   * far, so that requests do not wait for a planner that does not come back.
   */
  expectedWaitMilliseconds(
    service: string,
    name: ModelReference,
    softwareVersion?: string,
  ): number | undefined {
    const key = requestKey(service, name, softwareVersion);
    const requestState = this.requestStates.get(key);
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
   * Asks for a holding, unless a request is pending or was made just now.
   *
   * @param softwareVersion version that the upstream must have; undefined if
   *     any will do.
   */
  requestHolding(
    service: string,
    name: ModelReference,
    softwareVersion?: string,
  ): void {
    const key = requestKey(service, name, softwareVersion);
    const previous = this.requestStates.get(key);
    const now = performance.now();
    if (previous?.isPending) return;
    if (previous && now < nextRequestAtMilliseconds(previous)) return;
    const requestState: RequestState = {
      isPending: true,
      updatedAtMilliseconds: now,
      readyAtMilliseconds: findReadyAt(previous, now),
      unansweredSinceMilliseconds: previous?.unansweredSinceMilliseconds ?? now,
    };
    this.requestStates.set(key, requestState);
    const response = this.plannerClient.requestHolding(
      service,
      name,
      softwareVersion,
    );
    void this.applyResponse(name, requestState, response);
  }

  private async applyResponse(
    name: ModelReference,
    requestState: RequestState,
    pendingResponse: ReturnType<PlannerClient['requestHolding']>,
  ): Promise<void> {
    const response = await pendingResponse;
    requestState.isPending = false;
    requestState.updatedAtMilliseconds = performance.now();
    // Without a reachable planner the wait is unknown: requests stay queued.
    if (!response.ok) return;
    requestState.unansweredSinceMilliseconds = undefined;
    const holding = response.val;
    requestState.readyAtMilliseconds = holding
      ? performance.now() + holding.readyInMilliseconds
      : Infinity;
    if (!holding) {
      this.directory.notifyListeners();
      return;
    }
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
 * A holding that takes long is asked for less often: every node asks for each
 * model that its requests wait for, and one planner answers them all.
 */
function nextRequestAtMilliseconds({
  updatedAtMilliseconds,
  readyAtMilliseconds,
}: RequestState): number {
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

function requestKey(
  service: string,
  {model, adapter}: ModelReference,
  softwareVersion = '',
): string {
  const entryName =
    adapter === undefined
      ? modelEntryName(service, model)
      : adapterEntryName(service, model, adapter);
  return `${entryName} ${softwareVersion}`;
}
