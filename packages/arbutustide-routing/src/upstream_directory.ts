import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {PlatformHost} from '@arbutustide/upstream';

import type {Upstream, UpstreamObservation} from './upstream.js';

import {EntryKind, entryNameOfItem} from '@arbutustide/catalogue';
import {HostKind, HostState} from '@arbutustide/upstream';

/** How long an unreachable upstream is avoided. */
const UNREACHABLE_AVOIDANCE_MILLISECONDS = 2_000;

/** A replica of an entry: its upstream and its item name there. */
export interface Replica {
  readonly upstream: Upstream;
  /** Item as `name@version`; undefined for a plain service. */
  readonly item: string | undefined;
}

/** The upstreams that this node knows, and the replicas that they hold. */
export class UpstreamDirectory {
  private readonly upstreams = new Map<string, Upstream>();
  /** Replicas by entry name, of all versions. */
  private readonly replicasByEntry = new Map<string, Replica[]>();
  private readonly servicesByGroup = new Map<string, Replica[]>();

  /**
   * Applies the platform's latest host list. An upstream that is not on it
   * gets no new work, and is removed if this node has no request there.
   */
  applyHosts(hosts: readonly PlatformHost[]): void {
    const listed = hosts.filter(host => host.kind !== HostKind.ENTRY_NODE);
    const listedIds = new Set(listed.map(host => host.id));
    for (const upstream of this.upstreams.values()) {
      if (listedIds.has(upstream.id)) continue;
      upstream.isListed = false;
      if (upstream.ownInFlight === 0) this.upstreams.delete(upstream.id);
    }
    for (const host of listed) this.applyHost(host);
    this.rebuildIndexes();
  }

  /**
   * Applies a report that this node or a peer has read. Of an older report
   * only the sign that the same instance is leaving is applied.
   */
  applyObservation(observation: UpstreamObservation): void {
    const upstream = this.upstreams.get(observation.upstreamId);
    if (!upstream) return;
    const previous = upstream.observation;
    if (
      previous &&
      previous.readAtMilliseconds >= observation.readAtMilliseconds
    ) {
      if (
        observation.isLeaving &&
        previous.instanceId === observation.instanceId
      ) {
        upstream.isLeaving = true;
      }
      return;
    }
    if (previous && previous.instanceId !== observation.instanceId) {
      upstream.isLeaving = false;
    }
    if (observation.isLeaving) upstream.isLeaving = true;
    upstream.observation = observation;
    upstream.avoidedUntilMilliseconds = 0;
    if (!hasSameItems(previous, observation)) this.rebuildIndexes();
  }

  /** Records that an upstream has announced that it is leaving. */
  markLeaving(upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId);
    if (upstream) upstream.isLeaving = true;
  }

  /** Avoids an upstream for a fixed time or until its next report. */
  markUnreachable(upstreamId: string): void {
    const upstream = this.upstreams.get(upstreamId);
    if (!upstream) return;
    upstream.avoidedUntilMilliseconds =
      performance.now() + UNREACHABLE_AVOIDANCE_MILLISECONDS;
  }

  /** Removes an item that the upstream has reported as not resident. */
  markNotResident(upstreamId: string, item: string): void {
    const upstream = this.upstreams.get(upstreamId);
    const observation = upstream?.observation;
    if (!upstream || !observation) return;
    upstream.observation = {
      ...observation,
      residentItems: observation.residentItems.filter(held => held !== item),
    };
    this.rebuildIndexes();
  }

  /** The upstream with this id, if it is known. */
  get(upstreamId: string): Upstream | undefined {
    return this.upstreams.get(upstreamId);
  }

  all(): Iterable<Upstream> {
    return this.upstreams.values();
  }

  /**
   * Replicas of an entry that accept new work. Those of the catalogue's version
   * are returned if there are any, otherwise those of other versions, so that
   * the entry stays reachable while its version changes. Avoided upstreams are
   * returned only if there are no others.
   *
   * @param currentItem item name of the entry's version in the catalogue.
   */
  readyReplicas(entry: CatalogueEntry, currentItem: string): Replica[] {
    const accepting = this.replicas(entry).filter(({upstream}) =>
      takesNewWork(upstream),
    );
    const currentVersion = accepting.filter(
      ({item}) => item === undefined || item === currentItem,
    );
    const candidates = currentVersion.length > 0 ? currentVersion : accepting;
    const now = performance.now();
    const reachable = candidates.filter(
      ({upstream}) => upstream.avoidedUntilMilliseconds <= now,
    );
    return reachable.length > 0 ? reachable : candidates;
  }

  private replicas(entry: CatalogueEntry): readonly Replica[] {
    if (entry.kind === EntryKind.SERVICE) {
      return this.servicesByGroup.get(entry.hostGroup ?? '') ?? [];
    }
    return this.replicasByEntry.get(entry.name) ?? [];
  }

  private applyHost(host: PlatformHost): void {
    let upstream = this.upstreams.get(host.id);
    if (upstream?.url !== host.url) {
      upstream = newUpstream(host);
      this.upstreams.set(host.id, upstream);
    }
    upstream.isListed = true;
    if (host.state === HostState.LEAVING) upstream.isLeaving = true;
  }

  private rebuildIndexes(): void {
    this.replicasByEntry.clear();
    this.servicesByGroup.clear();
    for (const upstream of this.upstreams.values()) {
      if (upstream.kind === HostKind.SERVICE) {
        appendReplica(this.servicesByGroup, upstream.group ?? '', {
          upstream,
          item: undefined,
        });
      }
      for (const item of upstream.observation?.residentItems ?? []) {
        appendReplica(this.replicasByEntry, entryNameOfItem(item), {
          upstream,
          item,
        });
      }
    }
  }
}

function takesNewWork(upstream: Upstream): boolean {
  return upstream.isListed && !upstream.isLeaving;
}

function newUpstream(host: PlatformHost): Upstream {
  return {
    id: host.id,
    kind: host.kind,
    url: host.url,
    region: host.region,
    failureDomain: host.failureDomain,
    group: host.group,
    checksFencing: host.checksFencing,
    isListed: true,
    isLeaving: false,
    observation: undefined,
    ownInFlight: 0,
    suspectsInFlight: 0,
    avoidedUntilMilliseconds: 0,
  };
}

function hasSameItems(
  previous: UpstreamObservation | undefined,
  next: UpstreamObservation,
): boolean {
  const before = previous?.residentItems ?? [];
  if (before.length !== next.residentItems.length) return false;
  return next.residentItems.every((item, index) => item === before[index]);
}

function appendReplica(
  index: Map<string, Replica[]>,
  key: string,
  replica: Replica,
): void {
  const replicas = index.get(key);
  if (replicas) replicas.push(replica);
  else index.set(key, [replica]);
}
