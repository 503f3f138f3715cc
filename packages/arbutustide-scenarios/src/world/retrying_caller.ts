import type {CallerOutcome, SimulatedRequest} from './simulated_caller.js';
import type {SimulatedWorld} from './simulated_world.js';

import {delay, ErrorKind, ExecutionStatus} from '@arbutustide/errors';

import {RequestEnd} from './simulated_caller.js';
import {runOutsideProcesses} from './simulated_process.js';

const RETRY_DELAY_MILLISECONDS = 1_000;
const POLL_INTERVAL_MILLISECONDS = 50;
/** How long the caller waits for an answer before it closes the connection. */
const ANSWER_TIMEOUT_MILLISECONDS = 20_000;

/** Refusals after which sending the request again is pointless. */
const FINAL_REFUSAL_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.CLAIM_OUTCOME_UNKNOWN,
  ErrorKind.CLAIM_ANSWER_NOT_KEPT,
  ErrorKind.REQUEST_QUARANTINED,
  ErrorKind.KEY_REUSED,
]);

/** A caller that sends a request to the nodes in turn until it is final. */
export class RetryingCaller {
  finalOutcome: CallerOutcome | undefined;
  private attempts = 0;

  constructor(
    private readonly world: SimulatedWorld,
    private readonly nodeNames: readonly string[],
    private readonly request: SimulatedRequest,
  ) {}

  /** Starts to send the request; does not wait for the outcome. */
  start(): this {
    void runOutsideProcesses(() => this.sendUntilFinal());
    return this;
  }

  private async sendUntilFinal(): Promise<void> {
    while (!this.finalOutcome) {
      const {nodeNames, request} = this;
      const nodeName = nodeNames[this.attempts % nodeNames.length];
      this.attempts += 1;
      const outcome = this.world.sendRequest(nodeName, {
        ...request,
        requestId: `${request.requestId}.${this.attempts}`,
      });
      await this.waitForEnd(outcome);
      if (isFinalOutcome(outcome)) this.finalOutcome = outcome;
      else await delay(RETRY_DELAY_MILLISECONDS);
    }
  }

  private async waitForEnd(outcome: CallerOutcome): Promise<void> {
    const deadline = performance.now() + ANSWER_TIMEOUT_MILLISECONDS;
    while (!outcome.end && performance.now() < deadline) {
      await delay(POLL_INTERVAL_MILLISECONDS);
    }
  }
}

/**
 * Whether the request is not sent again. Without an idempotency key, a refused
 * request that may have run is not.
 */
function isFinalOutcome({end, refusal, request}: CallerOutcome): boolean {
  if (end === RequestEnd.ANSWERED) return true;
  if (end !== RequestEnd.REFUSED || !refusal) return false;
  if (FINAL_REFUSAL_KINDS.has(refusal.kind)) return true;
  return (
    refusal.ran !== ExecutionStatus.NOT_EXECUTED &&
    request.idempotencyKey === undefined
  );
}
