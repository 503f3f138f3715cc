import {createHash} from 'node:crypto';

/**
 * Picks some of the candidates for a key by rendezvous hashing: all nodes that
 * know the same candidates pick the same, and a candidate that goes changes
 * only its own share.
 */
export function rendezvousPick<T>(
  key: string,
  candidates: Iterable<T>,
  nameOf: (candidate: T) => string,
  count: number,
): T[] {
  const scored = [...candidates].map(candidate => ({
    candidate,
    score: score(key, nameOf(candidate)),
  }));
  scored.sort((left, right) => right.score - left.score);
  return scored.slice(0, count).map(({candidate}) => candidate);
}

function score(key: string, name: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(name);
  return digest.digest().readUIntBE(0, 6);
}
