import type {UpstreamProcess} from '../departed_upstreams.js';
import type {LostRequest} from './crash_recorder.js';

/**
 * An answer that goes on for this long after its beginning has not crashed its
 * upstream: a segment that crashes upstreams does so when the answer begins.
 */
const SURVIVAL_MILLISECONDS = 500;
/** Without data for this long, a request that is given up may be lost. */
const SILENCE_MILLISECONDS = 1_000;

/** What an attempt reports of its request. */
export interface AttemptListener {
  recordSurvival(segments: readonly string[]): void;
  recordLoss(loss: LostRequest): void;
}

/** Follows one attempt until it is known whether its upstream survived it. */
export class ObservedAttempt {
  private hasBegun = false;
  private firstDataAtMilliseconds: number | undefined;
  private lastDataAtMilliseconds = performance.now();
  private isSettled = false;

  constructor(
    private readonly process: UpstreamProcess,
    private readonly segments: readonly string[],
    private readonly listener: AttemptListener,
  ) {}

  /** Records the head of the answer. */
  recordHead(): void {
    this.hasBegun = true;
    this.lastDataAtMilliseconds = performance.now();
  }

  /** Records a part of the answer's body. */
  recordData(): void {
    const now = performance.now();
    this.lastDataAtMilliseconds = now;
    this.firstDataAtMilliseconds ??= now;
    if (now - this.firstDataAtMilliseconds >= SURVIVAL_MILLISECONDS)
      this.recordWhole();
  }

  /** Records that the answer is whole. */
  recordWhole(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.listener.recordSurvival(this.segments);
  }

  /**
   * Records that the answer has ended before its end, or, if that is not
   * certain, with its connection.
   */
  recordBroken(isIncomplete = true): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.listener.recordLoss({
      process: this.process,
      segments: this.segments,
      hasBegun: this.hasBegun,
      isIncomplete,
    });
  }

  /** Records that the request was given up by its caller or this node. */
  recordCancelled(): void {
    const silence = performance.now() - this.lastDataAtMilliseconds;
    if (silence >= SILENCE_MILLISECONDS) this.recordBroken();
    this.isSettled = true;
  }
}
