import type {TurnQueue} from '@arbutustide/event-loop';
import type {Result} from 'ts-results';

import {HIGHEST_PRIORITY, ServedShares} from '@arbutustide/routing';
import {Err, Ok} from 'ts-results';

/** A request that has just been read. */
export interface Arrival {
  /** Requests of a kind have the same needs and the same share. */
  readonly kind: string;
  /** Lower numbers are served first. */
  readonly priority: number;
  /** Whether its caller has a part of its answer already. */
  readonly isContinuation: boolean;
  /** Latency objective for the first byte of the answer. */
  readonly firstByteTargetMilliseconds: number;
  /** Time until its deadline, or until its caller gives up. */
  readonly remainingMilliseconds: number;
  /** Requests of a connection keep their order. */
  readonly connection: object;
}

/** An admitted request waits for its turn by its urgency. */
export interface AdmittedArrival {
  /** Undefined if it does not count for the shares. */
  readonly kind: string | undefined;
  /** Lower numbers come first. */
  readonly urgency: number;
  readonly connection: object;
}

export interface ArrivalAdmissionOptions {
  readonly turns: Pick<
    TurnQueue,
    'expectedWaitMilliseconds' | 'busyMilliseconds'
  >;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/** Urgency of what comes before all priorities. */
const FOREMOST = HIGHEST_PRIORITY - 1;
/** The rest of a request's time is for its upstream. */
const WAITING_SHARE = 0.5;
/** Refused callers that return sooner find the same wait. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
/** Spreads returning callers over this share of the retry-after. */
const RETRY_JITTER_SHARE = 0.25;

/**
 * Refuses requests that would wait for their turn of the event loop for longer
 * than their callers can use. The most urgent wait least, so that the others
 * are refused first. Load: more requests than the host has processor time for.
 */
export class ArrivalAdmission {
  private readonly shares = new ServedShares<string>();

  constructor(private readonly options: ArrivalAdmissionOptions) {}

  /** @return the retry-after in milliseconds if the request is refused. */
  admit(arrival: Arrival): Result<AdmittedArrival, number> {
    const {kind, connection} = arrival;
    const urgency = this.urgencyOf(arrival);
    const {turns} = this.options;
    const wait = turns.expectedWaitMilliseconds(urgency, connection);
    const usable = this.usableMilliseconds(arrival);
    if (wait === 0 || wait <= usable) return Ok({kind, urgency, connection});
    this.shares.record(kind, false);
    return Err(this.retryAfter(wait - usable));
  }

  /** Records that an admitted request had its turn, or that its caller left. */
  recordEnd({kind}: AdmittedArrival, hadTurn: boolean): void {
    if (kind !== undefined) this.shares.record(kind, hadTurn);
  }

  /**
   * Time for which a request can wait and still be of use to its caller. A burst
   * is waited out for as long as the caller can. A wait that lasts longer is no
   * burst: it would make all late and serve no more of them.
   */
  private usableMilliseconds({
    firstByteTargetMilliseconds,
    remainingMilliseconds,
  }: Arrival): number {
    const longest = WAITING_SHARE * remainingMilliseconds;
    if (this.options.turns.busyMilliseconds <= longest) return longest;
    return Math.min(longest, WAITING_SHARE * firstByteTargetMilliseconds);
  }

  private urgencyOf({kind, priority, isContinuation}: Arrival): number {
    const isForemost = isContinuation || this.shares.isFavoured(kind);
    return isForemost ? FOREMOST : priority;
  }

  /** The wait falls by the time that passes while nothing is admitted. */
  private retryAfter(excessMilliseconds: number): number {
    const spread = 1 + RETRY_JITTER_SHARE * this.options.random();
    return (
      Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, excessMilliseconds) * spread
    );
  }
}
