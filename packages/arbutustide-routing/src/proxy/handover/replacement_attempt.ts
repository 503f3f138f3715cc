import type {AttemptFollower, AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot} from '../attempt_target.js';
import type {InactivityTimeout} from '../inactivity_timeout.js';
import type {AttemptResult} from '../run_attempt.js';
import type {OpenStream} from './open_stream.js';

import {AttemptOutcome} from '../attempt_outcome.js';
import {EventSequencer} from '../event_sequencer.js';

/** Place of an attempt that is to replace another. */
export interface ReplacementOptions {
  readonly stream: OpenStream;
  readonly slot: AttemptSlot;
  readonly isUrgent: boolean;
  /** Whether no upstream would serve its stream more urgently. */
  readonly isMostUrgent: boolean;
  readonly attempts: Pick<AttemptMaker, 'makeAttempt' | 'refuseToSend'>;
}

type Chunks = AsyncIterator<Uint8Array>;

/**
 * An attempt to go on with a stream, made while the one before it still runs.
 * The stream changes over once this attempt has the next event; until then its
 * upstream may refuse it, or hold it back for longer than the one before it.
 */
export class ReplacementAttempt implements AttemptFollower {
  private inactivityTimeout: InactivityTimeout | undefined;
  private reason: string | undefined;
  private hasNextEvent = false;
  private hasBeenWithdrawn = false;
  /** Whether its upstream was silent at the last check, and was probed. */
  private isProbed = false;
  private chunks: Chunks | undefined;
  private readonly createdAtMilliseconds = performance.now();

  constructor(private readonly options: ReplacementOptions) {}

  /** Whether it has the next event, and the stream is to go on with it. */
  get goesOn(): boolean {
    return this.hasNextEvent;
  }

  /** Time for which it has been on its way, in milliseconds. */
  get waitedMilliseconds(): number {
    return performance.now() - this.createdAtMilliseconds;
  }

  get isUrgent(): boolean {
    return this.options.isUrgent;
  }

  /** Whether it was given up although its upstream might have gone on. */
  get isWithdrawn(): boolean {
    return this.hasBeenWithdrawn;
  }

  /** Why the stream does not go on with it; undefined while it may. */
  get failureReason(): string | undefined {
    return this.reason;
  }

  /** Resolves to the attempt once it goes on; to undefined if it will not. */
  async start(): Promise<AttemptResult | undefined> {
    const {stream, slot, isUrgent, attempts} = this.options;
    const {progress, lastEventId: resumeAfterEventId} = stream;
    const refusal = attempts.refuseToSend(progress);
    if (refusal) {
      this.reason = refusal.message;
      slot.release();
      return undefined;
    }
    const start = {resumeAfterEventId, isUrgent};
    const attempt = await attempts.makeAttempt(progress, slot, start, this);
    const {outcome, head, body, error} = attempt;
    const isStream = outcome === AttemptOutcome.ANSWERED && body === undefined;
    if (!isStream || !head) {
      this.reason ??= error?.message ?? `status ${head?.status}`;
      slot.release();
      return undefined;
    }
    const chunks = head.body[Symbol.asyncIterator]();
    this.chunks = chunks;
    const read: Uint8Array[] = [];
    try {
      const problem = await this.readNextEvent(chunks, read);
      if (problem === undefined && this.reason === undefined) {
        this.hasNextEvent = true;
        return {...attempt, head: {...head, body: replay(read, chunks)}};
      }
      this.reason ??= problem;
    } catch (error) {
      if (this.reason === undefined && !progress.cancellation.isCancelled) {
        slot.target.recordBrokenStream(progress, false);
        attempt.observed?.recordBroken();
      }
      this.reason ??= String(error);
    }
    this.abandon(attempt);
    return undefined;
  }

  /** Records why the stream does not go on with it, unless that is known. */
  fail(reason: string): void {
    this.reason ??= reason;
  }

  /** Gives the attempt up, unless the stream goes on with it. */
  withdraw(reason: string): void {
    if (this.hasNextEvent || this.reason !== undefined) return;
    this.reason = reason;
    this.hasBeenWithdrawn = true;
    this.inactivityTimeout?.abort(reason);
  }

  beginAttempt(slot: AttemptSlot, inactivityTimeout: InactivityTimeout): void {
    this.options.stream.recordSent(slot, this.isUrgent);
    this.inactivityTimeout = inactivityTimeout;
    if (this.reason !== undefined) inactivityTimeout.abort(this.reason);
  }

  endAttempt(): void {}

  /**
   * One without an event that is held back, or lost, makes room for another. It
   * keeps its place in the line of an upstream that is alive if it would only
   * change to the end of another line.
   */
  onInactive(isTargetSilent: boolean): boolean {
    if (this.hasNextEvent) return this.options.stream.onInactive();
    if (this.options.isMostUrgent && this.checkTarget(isTargetSilent))
      return false;
    this.reason ??= 'its upstream was inactive';
    return true;
  }

  /**
   * Returns whether its upstream may be alive. A silent one is probed, and is not
   * alive if the next check finds it silent still.
   */
  private checkTarget(isTargetSilent: boolean): boolean {
    const isAlive = !isTargetSilent || !this.isProbed;
    if (isTargetSilent && !this.isProbed) this.options.slot.target.probePath();
    this.isProbed = isTargetSilent;
    return isAlive;
  }

  /** Ends an attempt that the stream does not go on with. */
  abandon(attempt: AttemptResult): void {
    attempt.inactivityTimeout.abort(this.reason);
    attempt.observed?.recordCancelled();
    attempt.slot.release();
    // The generator that replays them runs no `finally` if it was not read.
    void this.chunks?.return?.().catch(() => {});
  }

  /** Reads up to the next event; returns why it cannot follow, if so. */
  private async readNextEvent(
    chunks: Chunks,
    read: Uint8Array[],
  ): Promise<string | undefined> {
    const sequencer = new EventSequencer(this.options.stream.lastEventId);
    for (;;) {
      const chunk = await chunks.next();
      if (chunk.done) return 'the stream ended before its next event';
      read.push(chunk.value);
      const {bytes, problem} = sequencer.push(chunk.value);
      if (problem) return `event cannot follow: ${problem}`;
      if (bytes) return undefined;
    }
  }
}

/** The chunks that were read and those that are still to come. */
async function* replay(
  read: readonly Uint8Array[],
  rest: Chunks,
): AsyncGenerator<Uint8Array, void, undefined> {
  try {
    yield* read;
    for (;;) {
      const chunk = await rest.next();
      if (chunk.done) return;
      yield chunk.value;
    }
  } finally {
    await rest.return?.();
  }
}
