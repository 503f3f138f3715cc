/**
 * A store that is restored from a copy goes back to an earlier state: its
 * revisions are handed out again. Each restore begins a new era. A version
 * combines era and revision, so that versions are never repeated and increase
 * over all eras.
 */

/** Suffices for ten years of 3,000 writes a second without a restore. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Version of a revision that was assigned in the given era. */
export function toVersion(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

export function eraOfVersion(version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA);
}

export function revisionOfVersion(version: number): number {
  return version % REVISIONS_PER_ERA;
}
