import type {OriginEvidence, StreamOrigin} from '@arbutustide/routing';

/** Evidence that a record of the stream gives; nothing can add to it. */
export function proofOf(
  origin: StreamOrigin,
  recentVersions: ReadonlySet<string>,
): OriginEvidence {
  return {origin, recentVersions, isComplete: true};
}

/** Whether a look at the archive can change nothing. */
export function isDecided(evidence: OriginEvidence): boolean {
  const {origin, recentVersions, isComplete} = evidence;
  return origin !== undefined || (isComplete && recentVersions.size <= 1);
}
