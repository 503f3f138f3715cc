import type {FleetProgress} from './fleet_progress.js';
import type {FleetUpstream} from './fleet_upstream.js';

import {Cancellation} from '@arbutustide/errors';
import {AttemptError, AttemptFailure} from '@arbutustide/upstream';

import {RequestKind} from './route.js';

/**
 * Part of the caller's patience for which an upstream may be silent before
 * another goes on. The rest is for the other one.
 */
const SILENCE_SHARE = 0.5;

/** Parts of the allowed silence after which a replacement is looked for again. */
const CHECKS_AGAIN = 5;

/**
 * Ends an attempt whose upstream has fallen silent, where another one may go
 * on. It answers upstreams that are lost without a word and connections that
 * lead nowhere; an upstream that cannot be replaced is waited for. An engine
 * that answers others is taken for busy until a stream has begun: to send its
 * prompt to another one would add to the load that made it slow.
 */
export class SilenceWatch {
  /** Cancelled with the request, or when the upstream is given up. */
  readonly cancel = new Cancellation();
  private readonly forget: () => void;
  private timer: NodeJS.Timeout | undefined;
  private isGivenUp = false;
  private hasHeard = false;

  /** @param mayReplace takes what a further attempt needs, if it may be made. */
  constructor(
    private readonly progress: FleetProgress,
    private readonly upstream: FleetUpstream,
    private readonly mayReplace: () => boolean,
  ) {
    this.forget = progress.cancel.onCancel(reason => {
      this.stop();
      this.cancel.cancel(reason);
    });
    if (!progress.cancel.isCancelled) this.arm(this.allowedMilliseconds);
  }

  /** Whether the upstream was given up for its silence. */
  get hasGivenUp(): boolean {
    return this.isGivenUp;
  }

  /** Notes that the upstream has sent something. */
  heard(): void {
    this.hasHeard = true;
    this.upstream.noteHeard();
    if (this.timer) this.arm(this.allowedMilliseconds);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.forget?.();
  }

  /** What an error means: one of a cancelled attempt may stand for silence. */
  explain(error: AttemptError): AttemptError {
    if (!this.isGivenUp) return error;
    const reason = `no answer for ${this.allowedMilliseconds} ms`;
    return new AttemptError(AttemptFailure.SILENT, reason);
  }

  private get allowedMilliseconds(): number {
    return SILENCE_SHARE * this.progress.request.route.patienceMilliseconds;
  }

  private get isLost(): boolean {
    const isStream = this.progress.request.route.kind === RequestKind.STREAM;
    const isQuiet = this.upstream.silentMilliseconds > this.allowedMilliseconds;
    return isQuiet || this.hasHeard || !isStream;
  }

  private arm(milliseconds: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.checkSilence(), milliseconds);
  }

  private checkSilence(): void {
    if (!this.isLost || !this.mayReplace()) {
      this.arm(this.allowedMilliseconds / CHECKS_AGAIN);
      return;
    }
    this.isGivenUp = true;
    this.stop();
    this.cancel.cancel(AttemptFailure.SILENT);
  }
}
