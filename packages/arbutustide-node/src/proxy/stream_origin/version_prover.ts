import type {RecentVersions} from '@arbutustide/routing';

import type {ListConfirmer} from './list_confirmer.js';
import type {OriginSearch} from './origin_peers.js';
import type {TouchTracker} from './touch_tracker.js';
import type {VersionHistory} from './version_history.js';

import {delay} from '@arbutustide/errors';

/** Age up to which a history is not read again for a node out of touch. */
const HISTORY_AGE_MILLISECONDS = 1_000;
/** Pause between two looks at whether the list of upstreams has arrived. */
const LIST_POLL_MILLISECONDS = 20;

/** What a node itself knows of the versions that a stream may have begun at. */
export interface VersionProof {
  /** Whether it knows those that have left since. */
  readonly isHistoryConfirmed: boolean;
  /** Whether it knows all. */
  readonly isProven: boolean;
}

/** Stands for what a peer has proven. */
export const PROVEN: VersionProof = {isHistoryConfirmed: true, isProven: true};

/** What a prover draws its conclusions from. */
export interface VersionProverOptions {
  readonly touch: TouchTracker;
  readonly recentVersions: RecentVersions;
  readonly history: VersionHistory;
  readonly listConfirmer: ListConfirmer;
  /** Records the versions that are listed now. */
  readonly observeVersions: () => void;
  /** Whether a list of upstreams was received since this process started. */
  readonly isListReceived: () => boolean;
  /** Longest time that a stream may last, in milliseconds. */
  readonly streamLifetimeMilliseconds: () => number;
}

/**
 * Tells whether this node knows all versions at which a stream may have begun:
 * those of the past by having seen them or by the history, and the latest ones by
 * an answer of the store that is later than the stream's beginning.
 */
export class VersionProver {
  constructor(private readonly options: VersionProverOptions) {}

  /**
   * Whether streams may go on that began before this process did, or before it
   * was last out of touch.
   */
  get isNew(): boolean {
    const {touch, streamLifetimeMilliseconds} = this.options;
    const age = performance.now() - touch.inTouchSinceMilliseconds;
    return age < streamLifetimeMilliseconds();
  }

  /**
   * Waits until this node has read each version at which a stream may have begun
   * that is resumed now. There is nothing to wait for with several versions: they
   * alone do not tell the origin.
   */
  async confirmList(
    service: string,
    sinceMilliseconds: number,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    const {recentVersions, listConfirmer} = this.options;
    if (recentVersions.versionsOf(service).size > 1) return true;
    return listConfirmer.confirm(sinceMilliseconds, timeoutMilliseconds);
  }

  /** What this node itself knows when the search ends, or before. */
  async prove({
    service,
    isListConfirmed,
    beganAtMilliseconds,
    endAtMilliseconds,
  }: OriginSearch): Promise<VersionProof> {
    const remaining = endAtMilliseconds - performance.now();
    const [isHistoryConfirmed, isList] = await Promise.all([
      this.confirmPast(service, endAtMilliseconds),
      isListConfirmed ||
        this.confirmList(service, beganAtMilliseconds, remaining),
    ]);
    return {isHistoryConfirmed, isProven: isHistoryConfirmed && isList};
  }

  /**
   * Waits until the versions of the past are known: by what this node has seen
   * for as long as a stream may last, or by the history.
   */
  private async confirmPast(
    service: string,
    endAtMilliseconds: number,
  ): Promise<boolean> {
    if (!this.isNew) return true;
    const {touch, history, isListReceived, observeVersions} = this.options;
    const remaining = () => endAtMilliseconds - performance.now();
    const readAfter = Math.min(
      touch.inTouchSinceMilliseconds,
      performance.now() - HISTORY_AGE_MILLISECONDS,
    );
    if (!(await history.confirm(service, readAfter, remaining()))) return false;
    while (!isListReceived() && remaining() > 0)
      await delay(LIST_POLL_MILLISECONDS);
    observeVersions();
    return isListReceived();
  }
}
