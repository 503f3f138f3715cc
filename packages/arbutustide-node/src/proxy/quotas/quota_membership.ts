import type {ClusterNode} from '@arbutustide/membership';
import type {IssuerStanding} from '@arbutustide/quotas';

import {
  NodeState,
  ProtocolLevel,
  selectByRendezvousHash,
} from '@arbutustide/membership';
import {PauseMeter} from '@arbutustide/quotas';

/** Dependencies of what a node knows of the issuers of quotas. */
export interface QuotaMembershipOptions {
  /** Identity of this node. */
  readonly identity: string;
  /** All known nodes, with this one. */
  readonly listNodes: () => readonly ClusterNode[];
  /** Share of all nodes that this node can reach, from 0 to 1. */
  readonly reachableShare: () => number;
  /** Whether there may be nodes that this one does not know yet. */
  readonly mayHavePeers: boolean;
}

/** Nodes that could be issuers, and the time from which they were known. */
interface KnownMembers {
  readonly candidates: readonly ClusterNode[];
  readonly sinceMilliseconds: number;
}

/** The issuers of one team, as this node chooses them. */
interface ChosenIssuers {
  issuers: readonly ClusterNode[];
  /** Time since which this node has been one of them all along. */
  ownSinceMilliseconds: number | undefined;
}

/**
 * Issuers of one team, each of which issues its part of the rate: a team is
 * served in part while one of them is lost, until the others notice it.
 */
const ISSUERS_PER_TEAM = 2;
/**
 * Time until a new issuer issues: the one before it may issue until it sees
 * the same change of membership. The times at which nodes drop a lost one
 * differ by up to this.
 */
const TAKEOVER_MILLISECONDS = 2_000;
/** A node that has just started does not know all others yet. */
const START_MILLISECONDS = 3_000;
/**
 * A pause after which others may have replaced this node as an issuer. They do
 * so after 3.5 s of silence, and their choice issues after the takeover time.
 */
const REPLACED_MILLISECONDS = 2_500;
const UPDATE_MILLISECONDS = 250;
/**
 * Changes of membership that are remembered for teams that are asked for the
 * first time; their buckets have filled in this time.
 */
const HISTORY_MILLISECONDS = 10_000;

/**
 * Chooses the issuers of teams' quotas from the known nodes, and tells since
 * when this node has been one without a doubt.
 */
export class QuotaMembership {
  private readonly chosenByTeam = new Map<string, ChosenIssuers>();
  private readonly pauseMeter = new PauseMeter();
  private readonly startedAtMilliseconds = performance.now();
  private updatedAtMilliseconds = -Infinity;
  private members = '';
  /** The latest last; empty until the first update. */
  private readonly history: KnownMembers[] = [];
  private pausedAtMilliseconds = -Infinity;
  private shares: {share: number; atMilliseconds: number}[] = [];

  constructor(private readonly options: QuotaMembershipOptions) {}

  /** The nodes that issue the team's quota. */
  listIssuers(team: string): readonly ClusterNode[] {
    return this.findChosen(team).issuers;
  }

  /** This node's standing; undefined if it is not an issuer of the team. */
  standingOf(team: string): IssuerStanding | undefined {
    this.updateIfStale();
    const {issuers, ownSinceMilliseconds} = this.findChosen(team);
    if (ownSinceMilliseconds === undefined) return undefined;
    const since = Math.max(ownSinceMilliseconds, this.pausedAtMilliseconds);
    const opensAtMilliseconds = this.options.mayHavePeers
      ? Math.max(
          since + TAKEOVER_MILLISECONDS,
          this.startedAtMilliseconds + START_MILLISECONDS,
        )
      : since;
    return {
      issuerCount: issuers.length,
      reachableShare: this.lowestRecentShare(),
      opensAtMilliseconds,
    };
  }

  /**
   * Applies changes of membership. Called at intervals of 250 ms, so that a
   * pause of the process shows as a longer one.
   */
  update(): void {
    const now = performance.now();
    this.updatedAtMilliseconds = now;
    const {elapsedMilliseconds, driftMilliseconds} = this.pauseMeter.read();
    const paused = Math.max(elapsedMilliseconds, driftMilliseconds);
    if (paused >= REPLACED_MILLISECONDS) this.pausedAtMilliseconds = now;
    this.shares.push({
      share: this.options.reachableShare(),
      atMilliseconds: now,
    });
    while (now - this.shares[0].atMilliseconds > TAKEOVER_MILLISECONDS)
      this.shares.shift();
    const candidates = this.candidates();
    const members = candidates.map(({identity}) => identity).join();
    if (members === this.members) return;
    this.members = members;
    this.recordChange({candidates, sinceMilliseconds: now});
    for (const [team, chosen] of this.chosenByTeam)
      this.chooseAgain(team, chosen, now);
  }

  private recordChange(change: KnownMembers): void {
    this.history.push(change);
    const oldest = change.sinceMilliseconds - HISTORY_MILLISECONDS;
    while (
      this.history.length > 1 &&
      this.history[1].sinceMilliseconds < oldest
    )
      this.history.shift();
  }

  private updateIfStale(): void {
    const age = performance.now() - this.updatedAtMilliseconds;
    if (age >= UPDATE_MILLISECONDS) this.update();
  }

  /**
   * The other parts of the cluster lower their shares within the takeover time
   * after this one has raised its own.
   */
  private lowestRecentShare(): number {
    return Math.min(...this.shares.map(({share}) => share));
  }

  /** Nodes that leave are candidates only while there are no others. */
  private candidates(): readonly ClusterNode[] {
    const nodes = this.options.listNodes();
    const staying = this.listAddresses(
      nodes.filter(({state}) => state !== NodeState.LEAVING),
    );
    return staying.length > 0 ? staying : this.listAddresses(nodes);
  }

  /** A process that was replaced at its address stays known for a while. */
  private listAddresses(nodes: readonly ClusterNode[]): readonly ClusterNode[] {
    const {identity} = this.options;
    const nodeByUrl = new Map<string, ClusterNode>();
    for (const node of nodes) {
      if (node.protocolLevel < ProtocolLevel.TEAMS) continue;
      const isOwnKnown = nodeByUrl.get(node.peerUrl)?.identity === identity;
      if (!isOwnKnown) nodeByUrl.set(node.peerUrl, node);
    }
    return [...nodeByUrl.values()];
  }

  private findChosen(team: string): ChosenIssuers {
    const known = this.chosenByTeam.get(team);
    if (known) return known;
    this.updateIfStale();
    const chosen: ChosenIssuers = {
      issuers: [],
      ownSinceMilliseconds: undefined,
    };
    this.chosenByTeam.set(team, chosen);
    for (const {sinceMilliseconds, candidates} of this.history)
      this.chooseAgain(team, chosen, sinceMilliseconds, candidates);
    return chosen;
  }

  private chooseAgain(
    team: string,
    chosen: ChosenIssuers,
    sinceMilliseconds: number,
    candidates = this.history[this.history.length - 1].candidates,
  ): void {
    const {identity} = this.options;
    chosen.issuers = selectByRendezvousHash(
      `quota/${team}`,
      candidates,
      ({peerUrl}) => peerUrl,
      ISSUERS_PER_TEAM,
    );
    const isOwn = chosen.issuers.some(issuer => issuer.identity === identity);
    chosen.ownSinceMilliseconds = isOwn
      ? (chosen.ownSinceMilliseconds ?? sinceMilliseconds)
      : undefined;
  }
}
