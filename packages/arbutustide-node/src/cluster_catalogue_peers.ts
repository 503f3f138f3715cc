import type {
  CatalogueHead,
  CatalogueSyncEnvironment,
  CataloguePeer,
} from '@arbutustide/catalogue';
import type {ClusterView, PeerTransport} from '@arbutustide/membership';

import {headSchema} from '@arbutustide/catalogue';
import {selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Key of the rendezvous hash that selects the nodes that watch the object
 * store. All nodes must use the same key to agree on the selection.
 */
const WATCHER_SELECTION_KEY = 'catalogue-watcher';

/** Options of `ClusterCataloguePeers`. */
export interface ClusterCataloguePeersOptions {
  readonly ownIdentity: string;
  readonly ownPeerUrl: string;
  readonly ownFailureDomain: string;
  readonly watchersPerFailureDomain: number;
  /**
   * Peer URLs from the platform's host list, used in addition to gossip, which
   * knows no peer right after a start.
   */
  readonly listedPeerUrls: () => readonly string[];
}

/** Peers from which this node can fetch a newer catalogue revision. */
export class ClusterCataloguePeers implements CatalogueSyncEnvironment {
  constructor(
    private readonly view: ClusterView,
    private readonly transport: PeerTransport,
    private readonly options: ClusterCataloguePeersOptions,
  ) {}

  /**
   * Peers known by gossip, highest catalogue revision first, then those known
   * only from the host list.
   */
  listPeers(): readonly CataloguePeer[] {
    const {ownIdentity, ownPeerUrl, listedPeerUrls} = this.options;
    const gossipedUrls = this.view
      .nodes()
      .filter(node => node.identity !== ownIdentity)
      .toSorted(
        (left, right) => right.catalogueRevision - left.catalogueRevision,
      )
      .map(node => node.peerUrl);
    const urls = new Set([...gossipedUrls, ...listedPeerUrls()]);
    urls.delete(ownPeerUrl);
    return [...urls].map(url => new RemoteCataloguePeer(url, this.transport));
  }

  highestPeerRevision(): number {
    const revisions = this.view.nodes().map(node => node.catalogueRevision);
    return Math.max(0, ...revisions);
  }

  /**
   * Whether this node is one of the `watchersPerFailureDomain` nodes of its
   * failure domain that watch the object store.
   */
  isStoreWatcher(): boolean {
    const {ownIdentity, ownFailureDomain, watchersPerFailureDomain} =
      this.options;
    const sameDomainNodes = this.view
      .nodes()
      .filter(node => node.failureDomain === ownFailureDomain);
    const watchers = selectByRendezvousHash(
      WATCHER_SELECTION_KEY,
      sameDomainNodes,
      node => node.identity,
      watchersPerFailureDomain,
    );
    return watchers.some(node => node.identity === ownIdentity);
  }
}

/** Fetches the active catalogue of one peer. */
class RemoteCataloguePeer implements CataloguePeer {
  constructor(
    private readonly peerUrl: string,
    private readonly transport: PeerTransport,
  ) {}

  async fetchHead(): Promise<CatalogueHead | undefined> {
    const json = await this.transport.fetchHead(this.peerUrl);
    if (!json.ok || json.val === '') return undefined;
    const head = headSchema.safeParse(JSON.parse(json.val));
    return head.success ? head.data : undefined;
  }

  async fetchContent(digest: string): Promise<unknown> {
    const json = await this.transport.fetchContent(this.peerUrl, digest);
    if (!json.ok || json.val === '') return undefined;
    return JSON.parse(json.val);
  }
}
