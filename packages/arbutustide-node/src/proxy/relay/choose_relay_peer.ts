import type {RelayPeer} from '@arbutustide/routing';

/** A peer that may pass a request on. */
export interface RelayCandidate extends RelayPeer {
  /** Requests that the peer has in flight, as far as this node knows. */
  readonly load: number;
}

/** Candidates that are compared, so that all nodes do not choose the same. */
const COMPARED_CANDIDATES = 2;

/**
 * Chooses the less loaded of two random candidates.
 *
 * @param random returns a uniformly distributed number in [0, 1).
 */
export function chooseRelayPeer(
  candidates: readonly RelayCandidate[],
  random: () => number,
): RelayPeer | undefined {
  const remaining = [...candidates];
  let best: RelayCandidate | undefined;
  for (let drawn = 0; drawn < COMPARED_CANDIDATES; drawn += 1) {
    const index = Math.floor(random() * remaining.length);
    const [candidate] = remaining.splice(index, 1);
    if (candidate && (!best || candidate.load < best.load)) best = candidate;
  }
  return best;
}
