import type {Upstream} from './upstream.js';
import type {Replica} from './upstream_directory.js';

import {createHash} from 'node:crypto';

/** Reports lose half of their weight in this time. */
const REPORT_HALF_LIFE_MILLISECONDS = 1_000;

/** What a choice is based on besides the replicas themselves. */
export interface ChoiceContext {
  readonly ownFailureDomain: string;
  /** Requests of the other nodes in flight at an upstream. */
  readonly peerLoad: (upstreamId: string) => number;
  /** Mean time of one request to the entry, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Requests an upstream runs at once before it queues. */
  readonly upstreamConcurrency: number;
  readonly crossDomainMilliseconds: number;
  /** Time saved when the upstream has the prompt's prefix cached. */
  readonly prefixMilliseconds: number;
  /** Digest of the prompt's prefix; absent when it has none. */
  readonly prefixDigest: string | undefined;
  readonly sampleSize: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Yields replicas to try, best first. Each is the best of a small random
 * sample, because all nodes see the same delayed figures and would otherwise
 * all pick the same one.
 */
export function* chooseReplicas(
  replicas: readonly Replica[],
  context: ChoiceContext,
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

/** Expected time until the upstream would have answered, in milliseconds. */
export function predictedMilliseconds(
  replica: Replica,
  hasPrefix: boolean,
  context: ChoiceContext,
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
 * Requests at an upstream: what the nodes say they have there, and the
 * upstream's own report discounted by its age, whichever is higher.
 */
function estimatedLoad(upstream: Upstream, peerLoad: number): number {
  const countedLoad = upstream.ownInFlight + peerLoad;
  const {observation} = upstream;
  if (!observation) return countedLoad;
  const ageMilliseconds = performance.now() - observation.atMilliseconds;
  const reportWeight = 0.5 ** (ageMilliseconds / REPORT_HALF_LIFE_MILLISECONDS);
  const reportedLoad = observation.inFlight + observation.queued;
  return Math.max(
    countedLoad,
    reportWeight * reportedLoad + (1 - reportWeight) * countedLoad,
  );
}

/**
 * The replica that rendezvous hashing gives a prefix. All nodes agree on it
 * without exchanging a message, so requests with one prefix meet.
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

/** Draws distinct replicas at random. */
function drawSample(
  untried: readonly Replica[],
  context: ChoiceContext,
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
