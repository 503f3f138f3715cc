import type {
  HoldingRequest,
  PromisedHolding,
  PromisedHoldings,
} from '@arbutustide/membership';
import type {EnginePlanner} from '@arbutustide/placement';

import type {WantedModels} from './wanted_models.js';

import {modelEntryName} from '@arbutustide/routing';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Requests of all callers that are taken up in one turn of the event loop. */
const REQUESTS_PER_TURN = 16;
/** Time after which a caller is told what is known so far. */
const ANSWER_MILLISECONDS = 250;
/** When a caller may expect what could not be decided in time. */
const RETRY_MILLISECONDS = 250;

/** Answer for what is not decided yet. */
const UNDECIDED: PromisedHolding = {
  upstreamId: '',
  readyInMilliseconds: RETRY_MILLISECONDS,
};

type Planner = Pick<EnginePlanner, 'checkCanSendOrders' | 'requestHolding'>;

/**
 * Answers nodes that ask the planner for several holdings at once. A few are
 * taken up in a turn, and a call is answered in bounded time: what is not decided
 * by then is to be asked for again.
 */
export class HoldingServer {
  private previousTurn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly planner: Planner,
    private readonly wantedModels: WantedModels,
  ) {}

  /** One answer for each request, in their order. */
  async answer(requests: readonly HoldingRequest[]): Promise<PromisedHoldings> {
    const answers: (PromisedHolding | undefined)[] = requests.map(
      () => UNDECIDED,
    );
    const {promise: isLate, cancel} = startTimer(ANSWER_MILLISECONDS);
    const endsAt = performance.now() + ANSWER_MILLISECONDS;
    const decisions: Promise<void>[] = [];
    for (let from = 0; from < requests.length; from += REQUESTS_PER_TURN) {
      await this.takeTurn();
      if (performance.now() >= endsAt) break;
      const taken = requests.slice(from, from + REQUESTS_PER_TURN);
      for (const [index, request] of taken.entries())
        decisions.push(
          this.decide(request).then(answer => {
            answers[from + index] = answer;
          }),
        );
    }
    await Promise.race([Promise.all(decisions), isLate]);
    cancel();
    return [...answers];
  }

  /** Turns of all calls follow one another. */
  private async takeTurn(): Promise<void> {
    this.previousTurn = this.previousTurn.then(() => nextTurn());
    await this.previousTurn;
  }

  private decide({
    service,
    model,
    adapter,
    softwareVersion,
  }: HoldingRequest): Promise<PromisedHolding | undefined> {
    if (adapter === '')
      this.wantedModels.record(modelEntryName(service, model));
    return this.planner.requestHolding(
      service,
      {model, adapter: adapter || undefined},
      softwareVersion || undefined,
    );
  }
}

function startTimer(milliseconds: number) {
  let timer: NodeJS.Timeout | undefined;
  const promise = new Promise<void>(resolve => {
    timer = setTimeout(resolve, milliseconds);
  });
  return {promise, cancel: () => clearTimeout(timer)};
}
