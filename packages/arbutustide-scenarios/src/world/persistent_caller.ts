import type {CallerOutcome, PlannedRequest} from './simulated_caller.js';
import type {World} from './world.js';

import {delay, ErrorKind, Ran} from '@arbutustide/errors';

import {CallerEnd} from './simulated_caller.js';
import {outsideProcesses} from './simulated_process.js';

const RETRY_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 50;
/** A caller gives its connection up after this long without an answer. */
const PATIENCE_MILLISECONDS = 20_000;

/** Refusals after which the caller's question is settled. */
const FINAL_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.CLAIM_OUTCOME_UNKNOWN,
  ErrorKind.CLAIM_ANSWER_NOT_KEPT,
  ErrorKind.REQUEST_QUARANTINED,
  ErrorKind.KEY_REUSED,
]);

/** A caller that asks the nodes in turn until its question is settled. */
export class PersistentCaller {
  settled: CallerOutcome | undefined;
  private attempts = 0;

  constructor(
    private readonly world: World,
    private readonly nodeNames: readonly string[],
    private readonly request: PlannedRequest,
  ) {}

  /** Starts asking. */
  start(): this {
    void outsideProcesses(() => this.run());
    return this;
  }

  private async run(): Promise<void> {
    while (!this.settled) {
      const {nodeNames, request} = this;
      const nodeName = nodeNames[this.attempts % nodeNames.length];
      this.attempts += 1;
      const outcome = this.world.send(nodeName, {
        ...request,
        requestId: `${request.requestId}.${this.attempts}`,
      });
      await this.waitForEnd(outcome);
      if (isSettled(outcome)) this.settled = outcome;
      else await delay(RETRY_MILLISECONDS);
    }
  }

  private async waitForEnd(outcome: CallerOutcome): Promise<void> {
    const end = performance.now() + PATIENCE_MILLISECONDS;
    while (!outcome.end && performance.now() < end) {
      await delay(POLL_MILLISECONDS);
    }
  }
}

/** A request without a key is not sent again when it may have run. */
function isSettled({end, refusal, request}: CallerOutcome): boolean {
  if (end === CallerEnd.ANSWERED) return true;
  if (end !== CallerEnd.REFUSED || !refusal) return false;
  if (FINAL_KINDS.has(refusal.kind)) return true;
  return refusal.ran !== Ran.NO && request.idempotencyKey === undefined;
}
