import type {ClockReading} from '@arbutustide/errors';

import type {ObjectStore, StoredObject} from './object_store.js';
import type {StoreError} from './store_error.js';

import {readClocks} from '@arbutustide/errors';

import {StoreErrorKind} from './store_error.js';

/** Receives the objects under a prefix and their changes. */
export interface PrefixListener {
  /** All objects: at the start and when changes may have been missed. */
  onList(objects: readonly StoredObject[], version: number): void;
  /** An object was created or written. */
  onChange(object: StoredObject): void;
  onDelete(key: string): void;
  /**
   * The store was restored from a copy. Objects may be missing or out of date
   * until their writers have written them again. `onList` follows.
   */
  onRestored?(): void;
  /** The store cannot be read; the known objects may be out of date. */
  onUnavailable(error: StoreError): void;
  /**
   * The store can be read again; `onList` or `onChange` follows with what changed.
   *
   * @param silentMilliseconds how long it may have been away: since the first call
   *     that it refused or broke off, or since one without an answer was sent.
   */
  onRecovered(silentMilliseconds: number): void;
  /**
   * The store had exactly the objects that were reported so far at this time
   * or later: it is when the call was sent whose result the store itself gave.
   */
  onConfirmed?(sentAt: ClockReading): void;
}

/** Options of a PrefixWatcher. */
export interface PrefixWatcherOptions {
  readonly prefix: string;
  /** Pause after each batch of changes, so that a series needs fewer calls. */
  readonly pauseMilliseconds: number;
  /**
   * Pause after a failed call, except the first if that timed out. It doubles
   * with each further failure, up to `MAXIMUM_RETRY_FACTOR` times, as refused
   * calls have a cost too.
   */
  readonly retryDelayMilliseconds: number;
  /** Time to hold a watch open, if the store's usual one is too long. */
  readonly watchMilliseconds?: () => number | undefined;
  /** Waits for the time, or returns early when the signal is aborted. */
  readonly pause: (
    milliseconds: number,
    signal: AbortSignal,
  ) => Promise<unknown>;
}

const MAXIMUM_RETRY_FACTOR = 4;

/**
 * Keeps a listener up to date with the objects under a prefix: lists them,
 * watches for changes after the list's version, and lists again when the store
 * no longer has those changes or was restored from a copy. Retries while the store is unavailable.
 */
export class PrefixWatcher {
  private watchedVersion: number | undefined;
  private listedEraStartVersion: number | undefined;
  private unavailableSinceMilliseconds: number | undefined;
  private retryFactor = 1;
  private lastResponseAtMilliseconds = -Infinity;

  constructor(
    private readonly store: ObjectStore,
    private readonly options: PrefixWatcherOptions,
    private readonly listener: PrefixListener,
  ) {}

  /** Time since the store last answered; infinite before its first answer. */
  get sinceResponseMilliseconds(): number {
    return performance.now() - this.lastResponseAtMilliseconds;
  }

  /** Version up to which changes were reported; undefined before the first list. */
  get reportedVersion(): number | undefined {
    return this.watchedVersion;
  }

  /** Lists and watches until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sentAtMilliseconds = performance.now();
      const error =
        this.watchedVersion === undefined
          ? await this.list()
          : await this.watch(this.watchedVersion, signal);
      if (!error || signal.aborted) continue;
      if (error.kind === StoreErrorKind.HISTORY_GONE) {
        this.watchedVersion = undefined;
        continue;
      }
      const isFirst = this.unavailableSinceMilliseconds === undefined;
      this.recordUnavailable(error, sentAtMilliseconds);
      // A call that timed out has waited long enough.
      if (isFirst && error.isTimeout) continue;
      const {retryDelayMilliseconds, pause} = this.options;
      await pause(retryDelayMilliseconds * this.retryFactor, signal);
      this.retryFactor = Math.min(MAXIMUM_RETRY_FACTOR, this.retryFactor * 2);
    }
  }

  private async list(): Promise<StoreError | undefined> {
    const sentAt = readClocks();
    const listed = await this.store.list(this.options.prefix);
    if (!listed.ok) return listed.val;
    this.recordResponse();
    const {objects, version} = listed.val;
    this.watchedVersion = version;
    this.recordEra();
    this.listener.onList(objects, version);
    this.listener.onConfirmed?.(sentAt);
    return undefined;
  }

  private async watch(
    afterVersion: number,
    signal: AbortSignal,
  ): Promise<StoreError | undefined> {
    const sentAt = readClocks();
    const batch = await this.store.watch(
      this.options.prefix,
      afterVersion,
      signal,
      this.options.watchMilliseconds?.(),
    );
    if (!batch.ok) return batch.val;
    this.recordResponse();
    const {changes, deletedKeys, version, isRelayed} = batch.val;
    this.watchedVersion = Math.max(afterVersion, version);
    for (const object of changes) this.listener.onChange(object);
    for (const key of deletedKeys) this.listener.onDelete(key);
    if (!isRelayed) this.listener.onConfirmed?.(sentAt);
    const {pauseMilliseconds, pause} = this.options;
    if (pauseMilliseconds > 0) await pause(pauseMilliseconds, signal);
    return undefined;
  }

  private recordEra(): void {
    const {eraStartVersion} = this.store;
    const previous = this.listedEraStartVersion;
    this.listedEraStartVersion = eraStartVersion;
    if (previous !== undefined && eraStartVersion > previous)
      this.listener.onRestored?.();
  }

  private recordResponse(): void {
    const now = performance.now();
    this.lastResponseAtMilliseconds = now;
    this.retryFactor = 1;
    if (this.unavailableSinceMilliseconds === undefined) return;
    const unavailableMilliseconds = now - this.unavailableSinceMilliseconds;
    this.unavailableSinceMilliseconds = undefined;
    this.listener.onRecovered(unavailableMilliseconds);
  }

  private recordUnavailable(
    error: StoreError,
    sentAtMilliseconds: number,
  ): void {
    if (this.unavailableSinceMilliseconds !== undefined) return;
    this.unavailableSinceMilliseconds = error.isTimeout
      ? sentAtMilliseconds
      : performance.now();
    this.listener.onUnavailable(error);
  }
}
