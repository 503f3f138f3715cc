import type {ObjectStore, StoredObject} from './object_store.js';
import type {StoreError} from './store_error.js';

import {StoreErrorKind} from './store_error.js';

/** What a watcher tells about the objects under its prefix. */
export interface PrefixListener {
  /** The whole content, at first and whenever changes may have been missed. */
  onList(objects: readonly StoredObject[], version: number): void;
  /** An object was created or written. */
  onChange(object: StoredObject): void;
  onDelete(key: string): void;
  /** The store cannot be read; what was told before may be old. */
  onLost(error: StoreError): void;
  /** The store is read again; `onList` or `onChange` follows. */
  onRegained(silentMilliseconds: number): void;
}

/** How a prefix is watched. */
export interface PrefixWatcherOptions {
  readonly prefix: string;
  /** Pause after each change, so that changes in series cost fewer calls. */
  readonly restMilliseconds: number;
  /** Pause after a failed call, in milliseconds. */
  readonly retryMilliseconds: number;
  /** Waits, or returns early when the signal is aborted. */
  readonly pause: (
    milliseconds: number,
    signal: AbortSignal,
  ) => Promise<unknown>;
}

/**
 * Keeps a listener up to date with the objects under a prefix: lists them,
 * watches from that version, and lists again when the store has forgotten the
 * changes since. Runs through outages.
 */
export class PrefixWatcher {
  private version: number | undefined;
  private lostAtMilliseconds: number | undefined;
  private heardAtMilliseconds = -Infinity;

  constructor(
    private readonly store: ObjectStore,
    private readonly options: PrefixWatcherOptions,
    private readonly listener: PrefixListener,
  ) {}

  /** Time since the store last answered, in milliseconds. */
  get silentMilliseconds(): number {
    return performance.now() - this.heardAtMilliseconds;
  }

  /** Watches until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const error =
        this.version === undefined
          ? await this.list()
          : await this.watch(this.version, signal);
      if (!error || signal.aborted) continue;
      if (error.kind === StoreErrorKind.HISTORY_GONE) {
        this.version = undefined;
        continue;
      }
      this.lost(error);
      await this.options.pause(this.options.retryMilliseconds, signal);
    }
  }

  private async list(): Promise<StoreError | undefined> {
    const listed = await this.store.list(this.options.prefix);
    if (!listed.ok) return listed.val;
    this.heard();
    const {objects, version} = listed.val;
    this.version = version;
    this.listener.onList(objects, version);
    return undefined;
  }

  private async watch(
    after: number,
    signal: AbortSignal,
  ): Promise<StoreError | undefined> {
    const batch = await this.store.watch(this.options.prefix, after, signal);
    if (!batch.ok) return batch.val;
    this.heard();
    const {changes, deletedKeys, version} = batch.val;
    this.version = Math.max(after, version);
    for (const object of changes) this.listener.onChange(object);
    for (const key of deletedKeys) this.listener.onDelete(key);
    const {restMilliseconds, pause} = this.options;
    if (restMilliseconds > 0) await pause(restMilliseconds, signal);
    return undefined;
  }

  private heard(): void {
    const now = performance.now();
    this.heardAtMilliseconds = now;
    if (this.lostAtMilliseconds === undefined) return;
    const silent = now - this.lostAtMilliseconds;
    this.lostAtMilliseconds = undefined;
    this.listener.onRegained(silent);
  }

  private lost(error: StoreError): void {
    if (this.lostAtMilliseconds !== undefined) return;
    this.lostAtMilliseconds = performance.now();
    this.listener.onLost(error);
  }
}
