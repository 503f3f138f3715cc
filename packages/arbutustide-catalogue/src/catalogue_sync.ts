import type {ObjectStore} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {CatalogueHolder} from './catalogue_holder.js';
import type {CatalogueHead} from './stored_catalogue.js';

import {delay} from '@arbutustide/errors';
import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {assembleRevision, CatalogueStore} from './catalogue_store.js';
import {
  computeContentDigest,
  HEAD_KEY,
  headSchema,
} from './stored_catalogue.js';

/** Reads the catalogue in force at another node; undefined when it cannot. */
export interface CataloguePeer {
  head(): Promise<CatalogueHead | undefined>;
  /** A content object, not yet checked. */
  content(digest: string): Promise<unknown>;
}

/** What the node lets the catalogue know of its neighbours. */
export interface CatalogueNeighbours {
  /** Peers that may have a newer catalogue, nearest first. */
  peers(): readonly CataloguePeer[];
  /** Highest revision any peer has in force. */
  highestRevision(): number;
  /** Whether this node is one of those that watch the store. */
  isWatcher(): boolean;
}

/** How often the store and the neighbours are asked. */
export interface CatalogueSyncOptions {
  readonly pollMilliseconds: number;
  /** Longest time without asking the store when other nodes watch it. */
  readonly storePollMilliseconds: number;
  readonly onProblem: (message: string) => void;
}

/**
 * Keeps the catalogue in force up to date: a few nodes watch the store, the
 * others learn of a revision by gossip and fetch it from a peer.
 */
export class CatalogueSync {
  private readonly catalogueStore: CatalogueStore;
  /** Content of the revision in force, by digest, to serve peers. */
  private activeContents = new Map<string, unknown>();
  private hasReadStore = false;

  constructor(
    private readonly store: ObjectStore,
    private readonly holder: CatalogueHolder,
    private readonly environment: CatalogueNeighbours,
    private readonly options: CatalogueSyncOptions,
  ) {
    this.catalogueStore = new CatalogueStore(store);
  }

  /** A content object of the revision in force. */
  content(digest: string): unknown {
    return this.activeContents.get(digest);
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.runStorePolling(signal),
      this.runPeerPolling(signal),
    ]);
  }

  /**
   * One look at the store's head.
   *
   * @return whether the store answered.
   */
  async pollStore(): Promise<boolean> {
    const snapshot = await this.catalogueStore.readHead();
    if (!snapshot.ok) {
      return snapshot.val.kind === StoreErrorKind.NOT_FOUND;
    }
    this.hasReadStore = true;
    await this.fetchAndInstall(snapshot.val.head, digest =>
      this.catalogueStore.readContent(digest),
    );
    return true;
  }

  /** Asks peers, and keeps the highest revision any of them has. */
  async pollPeers(): Promise<void> {
    for (const peer of this.environment.peers()) {
      if (this.isUpToDate()) return;
      const head = await peer.head();
      if (!head || head.revision <= this.holder.revision) continue;
      await this.fetchAndInstall(head, digest => readFromPeer(peer, digest));
    }
  }

  private async runStorePolling(signal: AbortSignal): Promise<void> {
    let watchedVersion = 0;
    let waited = Infinity;
    while (!signal.aborted) {
      const {pollMilliseconds, storePollMilliseconds} = this.options;
      if (this.environment.isWatcher()) {
        watchedVersion = await this.watchOnce(watchedVersion, signal);
        continue;
      }
      if (waited >= storePollMilliseconds || !this.hasReadStore) {
        await this.pollStore();
        waited = 0;
      }
      await delay(pollMilliseconds, signal);
      waited += pollMilliseconds;
    }
  }

  /** One waiting watch of the head, which is one counted call. */
  private async watchOnce(
    afterVersion: number,
    signal: AbortSignal,
  ): Promise<number> {
    const batch = await this.store.watch(HEAD_KEY, afterVersion, signal);
    if (!batch.ok) {
      await delay(this.options.pollMilliseconds, signal);
      return afterVersion;
    }
    this.hasReadStore = true;
    for (const change of batch.val.changes) {
      if (change.key !== HEAD_KEY) continue;
      const head = headSchema.safeParse(change.value);
      if (!head.success) continue;
      const isTaken = await this.fetchAndInstall(head.data, digest =>
        this.catalogueStore.readContent(digest),
      );
      if (!isTaken) {
        await delay(this.options.pollMilliseconds, signal);
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
      await delay(this.options.pollMilliseconds, signal);
    }
  }

  private isUpToDate(): boolean {
    const {revision} = this.holder;
    return revision > 0 && revision >= this.environment.highestRevision();
  }

  /**
   * Fetches the catalogue of a head and puts it in force.
   *
   * @return whether the node now has this revision or a higher one.
   */
  private async fetchAndInstall(
    head: CatalogueHead,
    read: (digest: string) => Promise<Result<unknown, StoreError>>,
  ): Promise<boolean> {
    if (head.revision <= this.holder.revision) return true;
    const fetched = new Map<string, unknown>();
    const revision = await assembleRevision(head, async digest => {
      const kept = this.activeContents.get(digest);
      const value = kept === undefined ? await read(digest) : Ok(kept);
      if (value.ok) fetched.set(digest, value.val);
      return value;
    });
    if (!revision.ok) {
      this.options.onProblem(
        `revision ${head.revision} cannot be fetched: ${revision.val.message}`,
      );
      return false;
    }
    if (this.holder.installIfNewer(head, revision.val))
      this.activeContents = fetched;
    return true;
  }
}

async function readFromPeer(
  peer: CataloguePeer,
  digest: string,
): Promise<Result<unknown, StoreError>> {
  const value = await peer.content(digest);
  if (value !== undefined && computeContentDigest(value) === digest)
    return Ok(value);
  return Err(
    new StoreError(
      StoreErrorKind.UNAVAILABLE,
      `a peer has no valid content ${digest}`,
    ),
  );
}
