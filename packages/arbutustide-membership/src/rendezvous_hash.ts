import {createHash} from 'node:crypto';

/**
 * Selects up to `count` candidates for a key by rendezvous (highest random
 * weight) hashing. All nodes with the same candidates select the same ones, and
 * removing a candidate changes only the selections that contained it.
 */
export function selectByRendezvousHash<T>(
  key: string,
  candidates: Iterable<T>,
  getName: (candidate: T) => string,
  count: number,
): T[] {
  const scored = [...candidates].map(candidate => ({
    candidate,
    score: computeScore(key, getName(candidate)),
  }));
  scored.sort((left, right) => right.score - left.score);
  return scored.slice(0, count).map(({candidate}) => candidate);
}

function computeScore(key: string, name: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(name);
  return digest.digest().readUIntBE(0, 6);
}
