import type {UpstreamProcess} from '../departed_upstreams.js';
import type {LostRequests, UpstreamCrash} from './upstream_crash.js';

import {processKey} from './upstream_crash.js';

/** Time within which a process must prove to have ended after it lost requests. */
const CONFIRMATION_MILLISECONDS = 5_000;
/**
 * Time after which an answer of unknown completeness counts as whole if its
 * upstream has not proved to have ended.
 */
const UNCERTAINTY_MILLISECONDS = 1_000;
/** The connections of a process that crashes end within this time. */
const CRASH_SPREAD_MILLISECONDS = 100;

/** A request whose answer broke off or may have. */
export interface LostRequest {
  readonly process: UpstreamProcess;
  readonly segments: readonly string[];
  /** Whether its answer had begun. */
  readonly hasBegun: boolean;
  /**
   * Whether the answer is certainly incomplete. One without length that ends
   * with its connection may be whole.
   */
  readonly isIncomplete: boolean;
}

interface PendingLoss extends LostRequest {
  readonly lostAtMilliseconds: number;
}

/**
 * Groups lost requests into crashes. Broken connections alone are no crash: the
 * process must also prove to have ended.
 */
export class CrashRecorder {
  private pending: PendingLoss[] = [];
  private readonly endedAt = new Map<string, number>();

  /**
   * @param onCrash called when a process is known to have crashed, and again
   *     for requests that turn out to be lost in the same crash.
   * @param onSurvival called for an answer that turned out to be whole.
   */
  constructor(
    private readonly onCrash: (crash: UpstreamCrash) => void,
    private readonly onSurvival: (segments: readonly string[]) => void,
  ) {}

  recordLoss(loss: LostRequest): void {
    const now = performance.now();
    this.pending.push({...loss, lostAtMilliseconds: now});
    if (this.endedAt.has(processKey(loss.process))) this.confirm(loss.process);
  }

  /** Records that a process has ended without having said that it leaves. */
  recordEnd(process: UpstreamProcess): void {
    this.endedAt.set(processKey(process), performance.now());
    this.confirm(process);
  }

  /** Processes that lost requests and have not proved to have ended. */
  *unconfirmedProcesses(): Generator<UpstreamProcess> {
    for (const {process, isIncomplete} of this.pending) {
      if (isIncomplete) yield process;
    }
  }

  /** Drops what is too old to belong to a crash. */
  prune(): void {
    const now = performance.now();
    const kept: PendingLoss[] = [];
    for (const loss of this.pending) {
      const age = now - loss.lostAtMilliseconds;
      const limit = loss.isIncomplete
        ? CONFIRMATION_MILLISECONDS
        : UNCERTAINTY_MILLISECONDS;
      if (age < limit) kept.push(loss);
      else if (!loss.isIncomplete) this.onSurvival(loss.segments);
    }
    this.pending = kept;
    for (const [key, endedAt] of this.endedAt) {
      if (now - endedAt >= CONFIRMATION_MILLISECONDS) this.endedAt.delete(key);
    }
  }

  private confirm(process: UpstreamProcess): void {
    this.prune();
    const key = processKey(process);
    const ofProcess = this.pending.filter(
      ({process: lostBy}) => processKey(lostBy) === key,
    );
    if (ofProcess.length === 0) return;
    this.pending = this.pending.filter(loss => !ofProcess.includes(loss));
    const crashedAt = Math.max(
      ...ofProcess.map(({lostAtMilliseconds}) => lostAtMilliseconds),
    );
    const losses: PendingLoss[] = [];
    for (const loss of ofProcess) {
      const isWhole =
        !loss.isIncomplete &&
        loss.lostAtMilliseconds < crashedAt - CRASH_SPREAD_MILLISECONDS;
      if (isWhole) this.onSurvival(loss.segments);
      else losses.push(loss);
    }
    this.onCrash({
      process: {id: process.id, startedAt: process.startedAt},
      begun: summarize(losses.filter(({hasBegun}) => hasBegun)),
      unbegun: summarize(losses.filter(({hasBegun}) => !hasBegun)),
    });
  }
}

function summarize(losses: readonly LostRequest[]): LostRequests {
  return {
    segments: new Set(losses.flatMap(({segments}) => segments)),
    requestCount: losses.length,
  };
}
