import type {Upstream} from './upstream.js';
import type {Replica} from './upstream_directory.js';

import {createHash} from 'node:crypto';

/** Age at which a load report has half of its initial weight. */
const REPORT_HALF_LIFE_MILLISECONDS = 1_000;

/** Inputs to the choice of a replica besides the replicas. */
export interface ReplicaChoiceContext {
  readonly ownFailureDomain: string;
  /** Requests of the other nodes in flight at an upstream. */
  readonly peerLoad: (upstreamId: string) => number;
  /** Mean service time of requests to the entry, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Requests that an upstream runs at once; it queues further ones. */
  readonly upstreamConcurrency: number;
  /** Added for an upstream outside this node's failure domain. */
  readonly crossDomainMilliseconds: number;
  /** Time saved if the upstream has the prompt's prefix in its cache. */
  readonly prefixMilliseconds: number;
  /** Digest of the prompt's prefix; absent when it has none. */
  readonly prefixDigest: string | undefined;
  /** Replicas that are drawn at random for each choice. */
  readonly sampleSize: number;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
}

/**
 * Yields all replicas in the order in which to try them. Each is the one with
 * the lowest predicted time of a small random sample: all nodes see the same
 * delayed load reports and would otherwise all choose the same replica.
 */
export function* chooseReplicas(
  replicas: readonly Replica[],
  context: ReplicaChoiceContext,
): Generator<Replica, undefined> {
  const untried = [...replicas];
  const prefixHolder = replicaForPrefix(replicas, context.prefixDigest);
  while (untried.length > 0) {
    const sample = drawSample(untried, context);
    if (prefixHolder && untried.includes(prefixHolder))
      sample.push(prefixHolder);
    const best = minimumBy(sample, replica =>
      predictedMilliseconds(replica, replica === prefixHolder, context),
    );
    untried.splice(untried.indexOf(best), 1);
    yield best;
  }
  return undefined;
}

/**
 * Predicted cost of sending a request to a replica, in milliseconds: the
 * queueing time at the upstream, plus the cost of another failure domain,
 * minus the time that a cached prefix saves. It can be negative.
 */
export function predictedMilliseconds(
  replica: Replica,
  hasPrefix: boolean,
  context: ReplicaChoiceContext,
): number {
  const {upstream} = replica;
  const load = estimatedLoad(upstream, context.peerLoad(upstream.id));
  const waitMilliseconds =
    (load / context.upstreamConcurrency) * context.serviceMilliseconds;
  const transferMilliseconds =
    upstream.failureDomain === context.ownFailureDomain
      ? 0
      : context.crossDomainMilliseconds;
  const savedMilliseconds = hasPrefix ? context.prefixMilliseconds : 0;
  return waitMilliseconds + transferMilliseconds - savedMilliseconds;
}

/**
 * Requests at an upstream: the higher of the nodes' own counts of requests in
 * flight, and a mean of that and the upstream's report, weighted by its age.
 */
function estimatedLoad(upstream: Upstream, peerLoad: number): number {
  const countedLoad = upstream.ownInFlight + peerLoad;
  const {observation} = upstream;
  if (!observation) return countedLoad;
  const ageMilliseconds = performance.now() - observation.readAtMilliseconds;
  const reportWeight = 0.5 ** (ageMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reportedLoad = observation.inFlight + observation.queued;
  return Math.max(
    countedLoad,
    reportWeight * reportedLoad + (1 - reportWeight) * countedLoad,
  );
}

/**
 * The replica that rendezvous hashing assigns to a prefix. All nodes agree on
 * it without communication, so requests with the same prefix go to the same
 * replica and its cache.
 */
function replicaForPrefix(
  replicas: readonly Replica[],
  prefixDigest: string | undefined,
): Replica | undefined {
  if (prefixDigest === undefined || replicas.length < 2) return undefined;
  return minimumBy(replicas, ({upstream}) => {
    const hash = createHash('sha1').update(prefixDigest).update(upstream.id);
    return hash.digest().readUInt32BE(0);
  });
}

/** Draws distinct replicas at random by a partial Fisher-Yates shuffle. */
function drawSample(
  untried: readonly Replica[],
  context: ReplicaChoiceContext,
): Replica[] {
  const pool = [...untried];
  const size = Math.min(context.sampleSize, pool.length);
  for (let index = 0; index < size; index += 1) {
    const remainingCount = pool.length - index;
    const swapIndex = index + Math.floor(context.random() * remainingCount);
    [pool[index], pool[swapIndex]] = [pool[swapIndex], pool[index]];
  }
  return pool.slice(0, size);
}

function minimumBy<T>(items: readonly T[], cost: (item: T) => number): T {
  let best = items[0];
  let bestCost = cost(best);
  for (const item of items.slice(1)) {
    const itemCost = cost(item);
    if (itemCost < bestCost) {
      best = item;
      bestCost = itemCost;
    }
  }
  return best;
}
