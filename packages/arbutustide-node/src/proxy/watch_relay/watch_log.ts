import type {WatchBatch} from '@arbutustide/object-store';

/** Batches that are kept for peers that are behind. */
const MAXIMUM_BATCHES = 200;

/** What a log answers to a peer that watches through it. */
export interface LoggedChanges {
  readonly batches: readonly WatchBatch[];
  /** Version that the batches lead to. */
  readonly version: number;
  /** Time since the store confirmed that version, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * Recent changes under one prefix of the store, for peers that watch through
 * this node. A peer whose version is older than the log must ask the store.
 */
export class WatchLog {
  private batches: WatchBatch[] = [];
  private startVersion = Infinity;
  private endVersion = -Infinity;
  private confirmedAtMilliseconds = -Infinity;
  private readonly waiters = new Set<() => void>();

  /** Starts again from a list, which may follow a gap or a restore. */
  reset(version: number): void {
    this.batches = [];
    this.startVersion = version;
    this.endVersion = version;
    this.confirmedAtMilliseconds = performance.now();
    this.wakeWaiters();
  }

  /**
   * Appends the result of a watch from the end of the log.
   *
   * @param ageMilliseconds age of the result when it arrived.
   */
  append(batch: WatchBatch, ageMilliseconds: number): void {
    const confirmedAt = performance.now() - ageMilliseconds;
    this.confirmedAtMilliseconds = Math.max(
      this.confirmedAtMilliseconds,
      confirmedAt,
    );
    if (batch.version <= this.endVersion) return;
    const isEmpty = batch.changes.length + batch.deletedKeys.length === 0;
    if (!isEmpty) this.batches.push(batch);
    if (this.batches.length > MAXIMUM_BATCHES) this.dropOldest();
    this.endVersion = batch.version;
    if (!isEmpty) this.wakeWaiters();
  }

  /** Time since the store confirmed the latest version, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.confirmedAtMilliseconds;
  }

  /**
   * Waits for changes after a version. Ends without changes after the time, and
   * as soon as the log is older than the limit.
   *
   * @return undefined if the log does not reach back to the version.
   */
  async waitForChanges(
    afterVersion: number,
    waitMilliseconds: number,
    maximumAgeMilliseconds: number,
  ): Promise<LoggedChanges | undefined> {
    const endsAt = performance.now() + waitMilliseconds;
    for (;;) {
      if (afterVersion < this.startVersion) return undefined;
      const batches = this.batches.filter(
        ({version}) => version > afterVersion,
      );
      const {endVersion: version, ageMilliseconds} = this;
      const remaining = Math.min(
        endsAt - performance.now(),
        maximumAgeMilliseconds - ageMilliseconds,
      );
      if (batches.length > 0 || remaining <= 0)
        return {batches, version, ageMilliseconds};
      await this.waitForWake(remaining);
    }
  }

  private dropOldest(): void {
    const dropped = this.batches.shift();
    if (dropped) this.startVersion = dropped.version;
  }

  private waitForWake(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiters.add(wake);
    });
  }

  private wakeWaiters(): void {
    for (const wake of [...this.waiters]) wake();
  }
}
