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
  const preferred = prefixReplica(replicas, context.prefixDigest);
  while (untried.length > 0) {
    const sample = drawSample(untried, context);
    if (preferred && untried.includes(preferred)) sample.push(preferred);
    const best = minimumBy(sample, replica =>
      predictedMilliseconds(replica, replica === preferred, context),
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
  const wait =
    (load / context.upstreamConcurrency) * context.serviceMilliseconds;
  const transfer =
    upstream.failureDomain === context.ownFailureDomain
      ? 0
      : context.crossDomainMilliseconds;
  const saved = hasPrefix ? context.prefixMilliseconds : 0;
  return wait + transfer - saved;
}

/**
 * Requests at an upstream: what the nodes say they have there, and the
 * upstream's own report discounted by its age, whichever is higher.
 */
function estimatedLoad(upstream: Upstream, peerLoad: number): number {
  const known = upstream.ownInFlight + peerLoad;
  const {observation} = upstream;
  if (!observation) return known;
  const age = performance.now() - observation.atMilliseconds;
  const weight = 0.5 ** (age / REPORT_HALF_LIFE_MILLISECONDS);
  const reported = observation.inFlight + observation.queued;
  return Math.max(known, weight * reported + (1 - weight) * known);
}

/**
 * The replica that rendezvous hashing gives a prefix. All nodes agree on it
 * without exchanging a message, so requests with one prefix meet.
 */
function prefixReplica(
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
    const span = pool.length - index;
    const other = index + Math.floor(context.random() * span);
    [pool[index], pool[other]] = [pool[other], pool[index]];
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
