import type {ClusterNode} from '@arbutustide/membership';

import {NodeState} from '@arbutustide/membership';

/** Why a snapshot of a peer is needed. */
export enum SnapshotReason {
  /** The peer has announced a newer configuration than this node has. */
  CONFIGURATION_BEHIND = 'configuration_behind',
  /** The store has told this node nothing about upstreams for long. */
  UPSTREAMS_STALE = 'upstreams_stale',
}

/** What this node knows from the store, by its own path or through a relay. */
export interface OwnState {
  readonly configurationVersion: number;
  /** Time since the store last answered about upstreams. */
  readonly upstreamsAgeMilliseconds: number;
}

/** Times after which this node asks a peer, in milliseconds. */
export interface SnapshotSourceOptions {
  /**
   * Time for a version that a peer has announced to arrive from the store,
   * which is the usual path.
   */
  readonly configurationGraceMilliseconds: number;
  /** Age of the list of upstreams from which peers are asked for it. */
  readonly upstreamsStaleMilliseconds: number;
  readonly ownFailureDomain: string;
  /** Uniformly distributed in [0, 1). */
  readonly random: () => number;
}

/** The peer to ask for a snapshot, and why. */
export interface SnapshotSource {
  readonly peer: ClusterNode;
  readonly reason: SnapshotReason;
}

/** A version that a peer announced and that this node did not have. */
interface AnnouncedVersion {
  readonly version: number;
  readonly sinceMilliseconds: number;
}

/**
 * Decides when a node should ask a peer for what it cannot read from the store:
 * the store may turn single nodes away, lose what it acknowledged, or be out of
 * reach for one node only.
 */
export class SnapshotSourceChooser {
  private announced: AnnouncedVersion | undefined;

  constructor(private readonly options: SnapshotSourceOptions) {}

  /** Chooses a peer to ask now; undefined if none is needed or none helps. */
  choose(
    own: OwnState,
    peers: readonly ClusterNode[],
  ): SnapshotSource | undefined {
    const ready = peers.filter(({state}) => state === NodeState.READY);
    const ahead = ready.filter(
      ({catalogueRevision}) => catalogueRevision > own.configurationVersion,
    );
    this.updateAnnounced(own.configurationVersion, ahead);
    const newerPeer = this.isGraceOver ? this.pick(ahead) : undefined;
    if (newerPeer)
      return {peer: newerPeer, reason: SnapshotReason.CONFIGURATION_BEHIND};
    if (own.upstreamsAgeMilliseconds < this.options.upstreamsStaleMilliseconds)
      return undefined;
    const peer = this.pick(ready);
    return peer && {peer, reason: SnapshotReason.UPSTREAMS_STALE};
  }

  /** Whether the store has had its time to deliver the announced version. */
  private get isGraceOver(): boolean {
    if (!this.announced) return false;
    const age = performance.now() - this.announced.sinceMilliseconds;
    return age >= this.options.configurationGraceMilliseconds;
  }

  /** Keeps the time at which the version in question was first noticed. */
  private updateAnnounced(
    ownVersion: number,
    ahead: readonly ClusterNode[],
  ): void {
    if (this.announced && this.announced.version > ownVersion) return;
    const version = Math.max(
      ...ahead.map(({catalogueRevision}) => catalogueRevision),
    );
    this.announced =
      ahead.length > 0
        ? {version, sinceMilliseconds: performance.now()}
        : undefined;
  }

  /** Picks any peer, one of this node's failure domain if possible. */
  private pick(peers: readonly ClusterNode[]): ClusterNode | undefined {
    const {ownFailureDomain, random} = this.options;
    const near = peers.filter(
      ({failureDomain}) => failureDomain === ownFailureDomain,
    );
    const candidates = near.length > 0 ? near : peers;
    return candidates[Math.floor(random() * candidates.length)];
  }
}
