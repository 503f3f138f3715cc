import type {ObjectStore} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {CatalogueHolder} from './catalogue_holder.js';
import type {CatalogueHead} from './stored_catalogue.js';

import {delay} from '@arbutustide/errors';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {assembleRevision, CatalogueStore} from './catalogue_store.js';
import {contentDigest, HEAD_KEY, headSchema} from './stored_catalogue.js';

/** Client for the active catalogue of a peer; undefined when a call fails. */
export interface CataloguePeer {
  fetchHead(): Promise<CatalogueHead | undefined>;
  /** Returns a content object without checking its digest. */
  fetchContent(digest: string): Promise<unknown>;
}

/** What the catalogue sync gets from its node. */
export interface CatalogueSyncEnvironment {
  /** Peers that may have a newer catalogue, nearest first. */
  listPeers(): readonly CataloguePeer[];
  /** Highest revision that is active at any peer. */
  highestPeerRevision(): number;
  /** Whether this node is one of the few that watch the object API. */
  isStoreWatcher(): boolean;
}

/** Polling intervals of the catalogue sync. */
export interface CatalogueSyncOptions {
  /** Interval between checks of the peers, and delay after a failed watch. */
  readonly pollIntervalMilliseconds: number;
  /** Interval between reads of the store when other nodes watch it. */
  readonly storePollIntervalMilliseconds: number;
  /** Called when a new revision cannot be fetched; the fetch is retried. */
  readonly onError: (message: string) => void;
}

/**
 * Keeps the active catalogue up to date. A few nodes watch the store; the
 * others learn of a new revision by gossip and fetch it from a peer.
 */
export class CatalogueSync {
  private readonly catalogueStore: CatalogueStore;
  /** Content objects of the active revision by digest, to serve to peers. */
  private activeContents = new Map<string, unknown>();
  private hasReadStore = false;

  constructor(
    private readonly store: ObjectStore,
    private readonly holder: CatalogueHolder,
    private readonly environment: CatalogueSyncEnvironment,
    private readonly options: CatalogueSyncOptions,
  ) {
    this.catalogueStore = new CatalogueStore(store);
  }

  /** Returns a content object of the active revision, if it has this one. */
  findContent(digest: string): unknown {
    return this.activeContents.get(digest);
  }

  /** Polls the store and the peers until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.runStorePolling(signal),
      this.runPeerPolling(signal),
    ]);
  }

  /**
   * Reads the head from the store once and activates its revision if newer.
   *
   * @return whether the store answered; it may have no catalogue yet.
   */
  async pollStore(): Promise<boolean> {
    const snapshot = await this.catalogueStore.readHead();
    if (!snapshot.ok) {
      return snapshot.val.kind === StoreErrorKind.NOT_FOUND;
    }
    this.hasReadStore = true;
    await this.fetchAndActivate(snapshot.val.head, digest =>
      this.catalogueStore.readContent(digest),
    );
    return true;
  }

  /** Fetches newer revisions from peers until the highest known is active. */
  async pollPeers(): Promise<void> {
    for (const peer of this.environment.listPeers()) {
      if (this.isUpToDate()) return;
      const head = await peer.fetchHead();
      if (!head || head.revision <= this.holder.revision) continue;
      await this.fetchAndActivate(head, digest => readFromPeer(peer, digest));
    }
  }

  private async runStorePolling(signal: AbortSignal): Promise<void> {
    let watchedVersion = 0;
    let sinceStorePollMilliseconds = Infinity;
    while (!signal.aborted) {
      const {pollIntervalMilliseconds, storePollIntervalMilliseconds} =
        this.options;
      if (this.environment.isStoreWatcher()) {
        watchedVersion = await this.watchOnce(watchedVersion, signal);
        continue;
      }
      if (
        sinceStorePollMilliseconds >= storePollIntervalMilliseconds ||
        !this.hasReadStore
      ) {
        await this.pollStore();
        sinceStorePollMilliseconds = 0;
      }
      await delay(pollIntervalMilliseconds, signal);
      sinceStorePollMilliseconds += pollIntervalMilliseconds;
    }
  }

  /**
   * Runs one long-poll watch of the head, which the platform charges as one
   * call.
   *
   * @return the version to watch from next; unchanged when the watch or the
   *     fetch of the revision failed.
   */
  private async watchOnce(
    afterVersion: number,
    signal: AbortSignal,
  ): Promise<number> {
    const batch = await this.store.watch(HEAD_KEY, afterVersion, signal);
    if (!batch.ok) {
      await delay(this.options.pollIntervalMilliseconds, signal);
      return afterVersion;
    }
    this.hasReadStore = true;
    for (const change of batch.val.changes) {
      if (change.key !== HEAD_KEY) continue;
      const head = headSchema.safeParse(change.value);
      if (!head.success) continue;
      const isActive = await this.fetchAndActivate(head.data, digest =>
        this.catalogueStore.readContent(digest),
      );
      if (!isActive) {
        await delay(this.options.pollIntervalMilliseconds, signal);
        return afterVersion;
      }
    }
    return batch.val.version;
  }

  private async runPeerPolling(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isUpToDate() || this.holder.revision === 0) {
        await this.pollPeers();
      }
      await delay(this.options.pollIntervalMilliseconds, signal);
    }
  }

  private isUpToDate(): boolean {
    const {revision} = this.holder;
    return revision > 0 && revision >= this.environment.highestPeerRevision();
  }

  /**
   * Fetches the catalogue of a head and activates it. Content objects that the
   * active revision shares are not fetched again.
   *
   * @return whether this revision or a higher one is now active.
   */
  private async fetchAndActivate(
    head: CatalogueHead,
    readContent: (digest: string) => Promise<Result<unknown, StoreError>>,
  ): Promise<boolean> {
    if (head.revision <= this.holder.revision) return true;
    const fetched = new Map<string, unknown>();
    const revision = await assembleRevision(head, async digest => {
      const cached = this.activeContents.get(digest);
      const value =
        cached === undefined ? await readContent(digest) : Ok(cached);
      if (value.ok) fetched.set(digest, value.val);
      return value;
    });
    if (!revision.ok) {
      this.options.onError(
        `revision ${head.revision} cannot be fetched: ${revision.val.message}`,
      );
      return false;
    }
    if (this.holder.activate(head, revision.val)) this.activeContents = fetched;
    return true;
  }
}

async function readFromPeer(
  peer: CataloguePeer,
  digest: string,
): Promise<Result<unknown, StoreError>> {
  const value = await peer.fetchContent(digest);
  if (value !== undefined && contentDigest(value) === digest) return Ok(value);
  return Err(
    new StoreError(
      StoreErrorKind.UNAVAILABLE,
      `the peer returned no valid content for digest ${digest}`,
    ),
  );
}
