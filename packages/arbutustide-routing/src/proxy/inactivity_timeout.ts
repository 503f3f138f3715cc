import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {AttemptTarget} from './attempt_target.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {RequestKind} from './route.js';

/**
 * Share of the caller's timeout for which an upstream may be inactive before it
 * is replaced. The rest is left for the replacement.
 */
const INACTIVITY_TIMEOUT_SHARE = 0.5;

/** Number of checks per timeout for a replacement once it has elapsed. */
const RECHECKS_PER_TIMEOUT = 5;

/**
 * Aborts an attempt whose upstream has been inactive for too long, if another
 * upstream can replace it; otherwise the attempt continues. It detects
 * upstreams that are lost without a reset and connections that drop packets.
 * Before the answer to a stream request has begun, an engine that still sends
 * data to other requests counts as busy and not as lost: running its prompt at
 * another engine too would add to the load that made it slow.
 */
export class InactivityTimeout {
  /** Cancelled with the request, and when the timeout expires. */
  readonly cancellation = new Cancellation();
  private readonly removeCancelListener: () => void;
  private readonly removeLossListener: () => void = () => {};
  private timer: NodeJS.Timeout | undefined;
  private isExpired = false;
  private isStopped = false;
  private hasReceived = false;

  /**
   * @param tryReplace whether the attempt is to end, as another one may be made
   *     now; has reserved its place and consumed its retry if so. It is told
   *     whether the target is lost or sends nothing to other requests either.
   */
  constructor(
    private readonly progress: RoutedRequestProgress,
    private readonly target: AttemptTarget,
    private readonly tryReplace: (isTargetSilent: boolean) => boolean,
  ) {
    this.removeCancelListener = progress.cancellation.onCancel(reason => {
      this.stop();
      this.cancellation.cancel(reason);
    });
    if (progress.cancellation.isCancelled) return;
    // Others may be lost in the same turn of the event loop.
    this.removeLossListener = target.onLost(() =>
      queueMicrotask(() => this.replaceIfPossible(true)),
    );
    this.startTimer(this.timeoutMilliseconds);
  }

  /** Restarts the timeout because the upstream has sent data. */
  recordActivity(): void {
    this.hasReceived = true;
    this.target.recordActivity();
    if (!this.isStopped) this.startTimer(this.timeoutMilliseconds);
  }

  /** Stops counting while the caller takes what the upstream has sent. */
  suspend(): void {
    clearTimeout(this.timer);
  }

  /** Counts from now on, as data of the upstream is awaited. */
  resume(): void {
    if (!this.isStopped) this.startTimer(this.timeoutMilliseconds);
  }

  /** Ends the attempt for another reason than inactivity. */
  abort(reason: unknown): void {
    this.stop();
    this.cancellation.cancel(reason);
  }

  /** Stops the timeout. */
  stop(): void {
    clearTimeout(this.timer);
    this.isStopped = true;
    this.removeCancelListener?.();
    this.removeLossListener();
  }

  /** Replaces the cancellation error of an expired attempt by a timeout. */
  translateError(error: AttemptError): AttemptError {
    if (!this.isExpired) return error;
    const reason = `no answer for ${this.timeoutMilliseconds} ms`;
    return new AttemptError(AttemptFailure.INACTIVITY_TIMEOUT, reason);
  }

  private get timeoutMilliseconds(): number {
    return (
      INACTIVITY_TIMEOUT_SHARE *
      this.progress.request.route.callerTimeoutMilliseconds
    );
  }

  private get isPresumedLost(): boolean {
    const isStream = this.progress.request.route.kind === RequestKind.STREAM;
    return this.isTargetSilent || this.hasReceived || !isStream;
  }

  private get isTargetSilent(): boolean {
    return this.target.silentMilliseconds > this.timeoutMilliseconds;
  }

  private startTimer(milliseconds: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.expireIfReplaceable(), milliseconds);
  }

  private expireIfReplaceable(): void {
    if (this.isPresumedLost && this.replaceIfPossible(this.isTargetSilent))
      return;
    this.startTimer(this.timeoutMilliseconds / RECHECKS_PER_TIMEOUT);
  }

  /** Ends the attempt if another one may be made; returns whether it has. */
  private replaceIfPossible(isTargetSilent: boolean): boolean {
    if (this.isStopped || !this.tryReplace(isTargetSilent)) return false;
    this.isExpired = true;
    this.stop();
    this.cancellation.cancel(AttemptFailure.INACTIVITY_TIMEOUT);
    return true;
  }
}
