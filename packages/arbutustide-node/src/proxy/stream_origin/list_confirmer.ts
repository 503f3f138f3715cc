import type {StoreError} from '@arbutustide/object-store';
import type {UpstreamDescription} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import {delay} from '@arbutustide/errors';
import {settleWithin} from '@arbutustide/event-loop';

/** Least time between the starts of two reads; callers in between share one. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;
/** A failed read is not repeated in this time: the store may be overloaded. */
const FAILURE_MILLISECONDS = 500;

/** What is known of the list of upstreams in the object store. */
export interface UpstreamListSource {
  /** Latest time (monotonic) at which the store held exactly what is listed. */
  readonly confirmedAtMilliseconds: number;
  /** Reads entries from the store that the watch has not delivered yet. */
  readPendingEntries(): Promise<
    Result<readonly UpstreamDescription[], StoreError>
  >;
}

/** Dependencies of a list confirmer. */
export interface ListConfirmerOptions {
  readonly source: UpstreamListSource;
  /** Called for each entry that was read, before the list is confirmed. */
  readonly onEntry: (description: UpstreamDescription) => void;
  readonly logger: NodeLogger;
}

/**
 * Shows that this node knows of all upstreams that were listed at some time. A
 * watch that is open proves nothing: the store may turn this node away, or the
 * answer may be lost, while other nodes read of new upstreams.
 */
export class ListConfirmer {
  private pendingRead: Promise<void> | undefined;
  private readAtMilliseconds = -Infinity;
  private readConfirmedAtMilliseconds = -Infinity;
  private failedAtMilliseconds = -Infinity;

  constructor(private readonly options: ListConfirmerOptions) {}

  /**
   * Waits for an answer of the store to a call that began at a time (monotonic)
   * or later.
   *
   * @return false if the store cannot be read, or not within the time.
   */
  async confirm(
    sinceMilliseconds: number,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    const endAt = performance.now() + timeoutMilliseconds;
    while (this.confirmedAtMilliseconds < sinceMilliseconds) {
      const remaining = endAt - performance.now();
      if (remaining <= 0 || this.hasFailedRecently) return false;
      await settleWithin(this.readShared(), remaining);
    }
    return true;
  }

  private get confirmedAtMilliseconds(): number {
    return Math.max(
      this.readConfirmedAtMilliseconds,
      this.options.source.confirmedAtMilliseconds,
    );
  }

  private get hasFailedRecently(): boolean {
    return performance.now() < this.failedAtMilliseconds + FAILURE_MILLISECONDS;
  }

  private readShared(): Promise<void> {
    this.pendingRead ??= this.read().finally(() => {
      this.pendingRead = undefined;
    });
    return this.pendingRead;
  }

  private async read(): Promise<void> {
    const nextReadAt = this.readAtMilliseconds + MINIMUM_INTERVAL_MILLISECONDS;
    await delay(Math.max(0, nextReadAt - performance.now()));
    const beganAt = performance.now();
    this.readAtMilliseconds = beganAt;
    const {source, onEntry, logger} = this.options;
    const entries = await source.readPendingEntries();
    if (!entries.ok) {
      this.failedAtMilliseconds = performance.now();
      logger.info(
        {reason: entries.val.message},
        'failed to confirm the list of upstreams',
      );
      return;
    }
    for (const entry of entries.val) onEntry(entry);
    this.readConfirmedAtMilliseconds = beganAt;
  }
}
