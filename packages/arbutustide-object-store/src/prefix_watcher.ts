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
  private watchedVersion: number | undefined;
  private unavailableSinceMilliseconds: number | undefined;
  private lastResponseAtMilliseconds = -Infinity;

  constructor(
    private readonly store: ObjectStore,
    private readonly options: PrefixWatcherOptions,
    private readonly listener: PrefixListener,
  ) {}

  /** Time since the store last answered, in milliseconds. */
  get silentMilliseconds(): number {
    return performance.now() - this.lastResponseAtMilliseconds;
  }

  /** Watches until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const error =
        this.watchedVersion === undefined
          ? await this.list()
          : await this.watch(this.watchedVersion, signal);
      if (!error || signal.aborted) continue;
      if (error.kind === StoreErrorKind.HISTORY_GONE) {
        this.watchedVersion = undefined;
        continue;
      }
      this.recordUnavailable(error);
      await this.options.pause(this.options.retryMilliseconds, signal);
    }
  }

  private async list(): Promise<StoreError | undefined> {
    const listed = await this.store.list(this.options.prefix);
    if (!listed.ok) return listed.val;
    this.recordResponse();
    const {objects, version} = listed.val;
    this.watchedVersion = version;
    this.listener.onList(objects, version);
    return undefined;
  }

  private async watch(
    after: number,
    signal: AbortSignal,
  ): Promise<StoreError | undefined> {
    const batch = await this.store.watch(this.options.prefix, after, signal);
    if (!batch.ok) return batch.val;
    this.recordResponse();
    const {changes, deletedKeys, version} = batch.val;
    this.watchedVersion = Math.max(after, version);
    for (const object of changes) this.listener.onChange(object);
    for (const key of deletedKeys) this.listener.onDelete(key);
    const {restMilliseconds, pause} = this.options;
    if (restMilliseconds > 0) await pause(restMilliseconds, signal);
    return undefined;
  }

  private recordResponse(): void {
    const now = performance.now();
    this.lastResponseAtMilliseconds = now;
    if (this.unavailableSinceMilliseconds === undefined) return;
    const silent = now - this.unavailableSinceMilliseconds;
    this.unavailableSinceMilliseconds = undefined;
    this.listener.onRegained(silent);
  }

  private recordUnavailable(error: StoreError): void {
    if (this.unavailableSinceMilliseconds !== undefined) return;
    this.unavailableSinceMilliseconds = performance.now();
    this.listener.onLost(error);
  }
}
