import type {
  CatalogueHead,
  CatalogueNeighbours,
  CataloguePeer,
} from '@arbutustide/catalogue';
import type {ClusterView, PeerTransport} from '@arbutustide/membership';

import {headSchema} from '@arbutustide/catalogue';
import {rendezvousPick} from '@arbutustide/membership';

/** Key by which all nodes agree on who watches the store. */
const WATCHER_SELECTION_KEY = 'catalogue-watcher';

/** What is needed to find neighbours. */
export interface ClusterCataloguePeersOptions {
  readonly ownIdentity: string;
  readonly ownPeerUrl: string;
  readonly ownFailureDomain: string;
  readonly watchersPerFailureDomain: number;
  /** Peers by the platform's list, for a node that knows no record yet. */
  readonly listedPeerUrls: () => readonly string[];
}

/** The other nodes as sources of the catalogue. */
export class ClusterCataloguePeers implements CatalogueNeighbours {
  constructor(
    private readonly view: ClusterView,
    private readonly transport: PeerTransport,
    private readonly options: ClusterCataloguePeersOptions,
  ) {}

  /** Peers with the highest revision first, then those only listed. */
  peers(): readonly CataloguePeer[] {
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

  highestRevision(): number {
    const revisions = this.view.nodes().map(node => node.catalogueRevision);
    return Math.max(0, ...revisions);
  }

  isWatcher(): boolean {
    const {ownIdentity, ownFailureDomain, watchersPerFailureDomain} =
      this.options;
    const sameDomainNodes = this.view
      .nodes()
      .filter(node => node.failureDomain === ownFailureDomain);
    const watchers = rendezvousPick(
      WATCHER_SELECTION_KEY,
      sameDomainNodes,
      node => node.identity,
      watchersPerFailureDomain,
    );
    return watchers.some(node => node.identity === ownIdentity);
  }
}

/** The catalogue in force at one peer. */
class RemoteCataloguePeer implements CataloguePeer {
  constructor(
    private readonly peerUrl: string,
    private readonly transport: PeerTransport,
  ) {}

  async head(): Promise<CatalogueHead | undefined> {
    const json = await this.transport.fetchHead(this.peerUrl);
    if (!json.ok || json.val === '') return undefined;
    const head = headSchema.safeParse(JSON.parse(json.val));
    return head.success ? head.data : undefined;
  }

  async content(digest: string): Promise<unknown> {
    const json = await this.transport.fetchContent(this.peerUrl, digest);
    if (!json.ok || json.val === '') return undefined;
    return JSON.parse(json.val);
  }
}
