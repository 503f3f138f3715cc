import type {FleetProgress} from './fleet_progress.js';
import type {FleetUpstream} from './fleet_upstream.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {RequestKind} from './route.js';

/**
 * Part of the caller's patience for which an upstream may be silent before
 * another goes on. The rest is for the other one.
 */
const INACTIVITY_TIMEOUT_SHARE = 0.5;

/** Parts of the allowed silence after which a replacement is looked for again. */
const RECHECKS_PER_TIMEOUT = 5;

/**
 * Ends an attempt whose upstream has fallen silent, where another one may go
 * on. It answers upstreams that are lost without a word and connections that
 * lead nowhere; an upstream that cannot be replaced is waited for. An engine
 * that answers others is taken for busy until a stream has begun: to send its
 * prompt to another one would add to the load that made it slow.
 */
export class InactivityTimeout {
  /** Cancelled with the request, or when the upstream is given up. */
  readonly cancellation = new Cancellation();
  private readonly removeCancelListener: () => void;
  private timer: NodeJS.Timeout | undefined;
  private isExpired = false;
  private hasReceived = false;

  /** @param tryReserveReplacement takes what a further attempt needs, if it may be made. */
  constructor(
    private readonly progress: FleetProgress,
    private readonly upstream: FleetUpstream,
    private readonly tryReserveReplacement: () => boolean,
  ) {
    this.removeCancelListener = progress.cancellation.onCancel(reason => {
      this.stop();
      this.cancellation.cancel(reason);
    });
    if (!progress.cancellation.isCancelled)
      this.startTimer(this.timeoutMilliseconds);
  }

  /** Whether the upstream was given up for its silence. */
  get hasExpired(): boolean {
    return this.isExpired;
  }

  /** Notes that the upstream has sent something. */
  recordActivity(): void {
    this.hasReceived = true;
    this.upstream.recordActivity();
    if (this.timer) this.startTimer(this.timeoutMilliseconds);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.removeCancelListener?.();
  }

  /** What an error means: one of a cancelled attempt may stand for silence. */
  translateError(error: AttemptError): AttemptError {
    if (!this.isExpired) return error;
    const reason = `no answer for ${this.timeoutMilliseconds} ms`;
    return new AttemptError(AttemptFailure.SILENT, reason);
  }

  private get timeoutMilliseconds(): number {
    return (
      INACTIVITY_TIMEOUT_SHARE *
      this.progress.request.route.patienceMilliseconds
    );
  }

  private get isPresumedLost(): boolean {
    const isStream = this.progress.request.route.kind === RequestKind.STREAM;
    const isQuiet = this.upstream.silentMilliseconds > this.timeoutMilliseconds;
    return isQuiet || this.hasReceived || !isStream;
  }

  private startTimer(milliseconds: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.expireIfReplaceable(), milliseconds);
  }

  private expireIfReplaceable(): void {
    if (!this.isPresumedLost || !this.tryReserveReplacement()) {
      this.startTimer(this.timeoutMilliseconds / RECHECKS_PER_TIMEOUT);
      return;
    }
    this.isExpired = true;
    this.stop();
    this.cancellation.cancel(AttemptFailure.SILENT);
  }
}
