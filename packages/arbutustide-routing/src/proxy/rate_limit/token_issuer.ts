import type {UpstreamProcess} from '../departed_upstreams.js';
import type {RateLimitObservation} from './rate_limit_observation.js';
import type {ScheduledToken} from './token_schedule.js';

import {laterObservation} from './rate_limit_observation.js';
import {tokenIntervalMilliseconds, TokenSchedule} from './token_schedule.js';

/** A node's request for a token, or its report of a changed limit. */
export interface TokenRequest {
  /** Identity of the requesting node. */
  readonly node: string;
  readonly process: UpstreamProcess;
  readonly observation: RateLimitObservation;
  /** False for a report. */
  readonly wantsToken: boolean;
}

/** Answer to a `TokenRequest`. */
export interface TokenResponse {
  /** The latest observation of all nodes. */
  readonly observation: RateLimitObservation;
  readonly isIssued: boolean;
  /**
   * Time until the token is valid or, if none was issued, until the node should
   * ask again; in milliseconds.
   */
  readonly waitMilliseconds: number;
  /** Expected time between two tokens of this node, in milliseconds. */
  readonly intervalMilliseconds: number;
}

/** The limit of one upstream's process, with the tokens issued for it. */
interface LimitedProcess {
  readonly process: UpstreamProcess;
  observation: RateLimitObservation;
  readonly schedule: TokenSchedule;
  /** When each node last asked, by identity. */
  readonly askedAtByNode: Map<string, number>;
  usedAtMilliseconds: number;
}

/**
 * Time until a new issuer issues its first token: another node may have issued
 * some until then, as nodes do not all see a change of membership at once.
 */
const TAKEOVER_MILLISECONDS = 1_000;

/** Nodes that asked within this time share the limit. */
const ASKING_NODE_RETENTION_MILLISECONDS = 2_000;

const NO_TOKEN: ScheduledToken = {isIssued: false, waitMilliseconds: 0};

/** How long a limit is kept without requests. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * Issues the tokens of upstreams that limit the rate of their requests. Each
 * upstream has one issuer among the nodes, so that the limit holds for all
 * nodes together.
 */
export class TokenIssuer {
  private readonly limitedById = new Map<string, LimitedProcess>();

  /**
   * @param reachableShare share of the nodes that this node can reach, from 0 to
   *     1. The parts of a partition, each with an issuer of its own, thus stay
   *     within the limit together.
   */
  constructor(private readonly reachableShare: () => number) {}

  /** Learns what the node observed and issues a token if it wants one. */
  handle({
    node,
    process,
    observation,
    wantsToken,
  }: TokenRequest): TokenResponse {
    const now = performance.now();
    const known = this.limitedById.get(process.id);
    if (known && known.process.startedAt > process.startedAt)
      return refuseEndedProcess(observation);
    const limited =
      known?.process.startedAt === process.startedAt
        ? known
        : this.createEntry(process, observation);
    limited.observation = laterObservation(limited.observation, observation);
    limited.usedAtMilliseconds = now;
    const {requestsPerSecond} = limited.observation;
    if (requestsPerSecond === undefined) {
      return {
        ...NO_TOKEN,
        observation: limited.observation,
        intervalMilliseconds: 0,
      };
    }
    if (wantsToken) limited.askedAtByNode.set(node, now);
    const tokensPerSecond = requestsPerSecond * this.reachableShare();
    const token = wantsToken
      ? limited.schedule.issue(tokensPerSecond)
      : NO_TOKEN;
    return {
      ...token,
      observation: limited.observation,
      intervalMilliseconds:
        tokenIntervalMilliseconds(tokensPerSecond) *
        Math.max(1, countAskingNodes(limited, now)),
    };
  }

  /** The limits in force that nodes have reported to this node. */
  *limits(): Generator<{
    readonly process: UpstreamProcess;
    readonly requestsPerSecond: number;
  }> {
    this.dropUnused();
    for (const {process, observation} of this.limitedById.values()) {
      const {requestsPerSecond} = observation;
      if (requestsPerSecond !== undefined) yield {process, requestsPerSecond};
    }
  }

  private createEntry(
    process: UpstreamProcess,
    observation: RateLimitObservation,
  ): LimitedProcess {
    const created: LimitedProcess = {
      process,
      observation,
      schedule: new TokenSchedule(TAKEOVER_MILLISECONDS),
      askedAtByNode: new Map(),
      usedAtMilliseconds: performance.now(),
    };
    this.limitedById.set(process.id, created);
    return created;
  }

  private dropUnused(): void {
    const oldestKept = performance.now() - RETENTION_MILLISECONDS;
    for (const [id, {usedAtMilliseconds}] of this.limitedById) {
      if (usedAtMilliseconds < oldestKept) this.limitedById.delete(id);
    }
  }
}

/** For the process that the upstream's present one has replaced. */
function refuseEndedProcess(observation: RateLimitObservation): TokenResponse {
  return {
    isIssued: false,
    waitMilliseconds: RETENTION_MILLISECONDS,
    observation,
    intervalMilliseconds: RETENTION_MILLISECONDS,
  };
}

function countAskingNodes(
  {askedAtByNode}: LimitedProcess,
  now: number,
): number {
  for (const [node, askedAt] of askedAtByNode) {
    if (now - askedAt > ASKING_NODE_RETENTION_MILLISECONDS)
      askedAtByNode.delete(node);
  }
  return askedAtByNode.size;
}
