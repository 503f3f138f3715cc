import type {
  HoldingRequest,
  PromisedHolding,
  PromisedHoldings,
} from '@arbutustide/membership';
import type {EnginePlanner} from '@arbutustide/placement';

import type {WantedModels} from './wanted_models.js';

import {modelEntryName} from '@arbutustide/routing';

/** Requests of all callers that are taken up in one turn of the event loop. */
const REQUESTS_PER_TURN = 16;
/** Requests that may wait for a turn; more are not taken up at all. */
const MAXIMUM_WAITING_REQUESTS = 1_024;
/** Time after which a caller is told what is known so far. */
const ANSWER_MILLISECONDS = 250;
/** When a caller may expect what could not be decided in time. */
const RETRY_MILLISECONDS = 250;

/** Answer for what is not decided yet. */
const UNDECIDED: PromisedHolding = {
  upstreamId: '',
  readyInMilliseconds: RETRY_MILLISECONDS,
};

type Decision = Promise<PromisedHolding | undefined>;

/**
 * Answers nodes that ask the planner for several holdings at once. A few are
 * taken up in a turn, and what several nodes ask for at the same time is decided
 * once. A call is answered in bounded time; what is decided later is done all the
 * same, and found so when the node asks again.
 */
export class HoldingServer {
  /** Decisions that have not ended, by request. */
  private readonly pendingDecisions = new Map<string, Decision>();
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly planner: Pick<EnginePlanner, 'requestHolding'>,
    private readonly wantedModels: WantedModels,
  ) {}

  /** One answer for each request, in their order. */
  async answer(requests: readonly HoldingRequest[]): Promise<PromisedHoldings> {
    const answers: (PromisedHolding | undefined)[] = requests.map(
      () => UNDECIDED,
    );
    const decisions = requests.map(async (request, index) => {
      answers[index] = await this.decideOnce(request);
    });
    let timer: NodeJS.Timeout | undefined;
    const isLate = new Promise<void>(resolve => {
      timer = setTimeout(resolve, ANSWER_MILLISECONDS);
    });
    await Promise.race([Promise.all(decisions), isLate]);
    clearTimeout(timer);
    return [...answers];
  }

  private decideOnce(request: HoldingRequest): Decision {
    const {service, model, adapter, softwareVersion} = request;
    const key = JSON.stringify([service, model, adapter, softwareVersion]);
    const pending = this.pendingDecisions.get(key);
    if (pending) return pending;
    if (this.waiting.length >= MAXIMUM_WAITING_REQUESTS)
      return Promise.resolve(UNDECIDED);
    const decision = this.nextTurn()
      .then(() => this.decide(request))
      .finally(() => this.pendingDecisions.delete(key));
    this.pendingDecisions.set(key, decision);
    return decision;
  }

  /** Resolves in a turn that has not taken up too many requests. */
  private nextTurn(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      if (this.waiting.length === 1) setImmediate(() => this.takeUp());
    });
  }

  private takeUp(): void {
    for (const begin of this.waiting.splice(0, REQUESTS_PER_TURN)) begin();
    if (this.waiting.length > 0) setImmediate(() => this.takeUp());
  }

  private decide({
    service,
    model,
    adapter,
    softwareVersion,
  }: HoldingRequest): Decision {
    if (adapter === '')
      this.wantedModels.record(modelEntryName(service, model));
    return this.planner.requestHolding(
      service,
      {model, adapter: adapter || undefined},
      softwareVersion || undefined,
    );
  }
}
