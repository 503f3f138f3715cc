/**
 * Nodes that a node should know, by the seeds that it does not know: a node
 * that starts inside a part of a partition has never known the others. Where
 * settings list only some nodes as seeds, the others are taken to be missing
 * in the same proportion.
 */
export function expectedNodeCount(
  knownUrls: ReadonlySet<string>,
  seedUrls: readonly string[],
): number {
  const knownSeeds = seedUrls.filter(url => knownUrls.has(url));
  if (knownSeeds.length === 0) return knownUrls.size + seedUrls.length;
  const proportion = seedUrls.length / knownSeeds.length;
  return Math.ceil(knownUrls.size * proportion);
}
