import type {ClusterView, FieldValue} from '@arbutustide/membership';
import type {
  LostRequests,
  PeerCrashEvidence,
  PoisonSegmentDetector,
} from '@arbutustide/routing';

import {
  LostRequestsSchema,
  SegmentQuarantineSchema,
  SegmentSurvivalsSchema,
  UpstreamCrashSchema,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Segments of one crash that are published; bounds the size of a record. */
const MAXIMUM_PUBLISHED_SEGMENTS = 64;

/** The fields of this node's record that carry its crash evidence, by key. */
export function* crashEvidenceFields(
  detector: PoisonSegmentDetector,
): Generator<readonly [string, FieldValue]> {
  for (const {process, begun, unbegun} of detector.recentCrashes()) {
    const value = create(UpstreamCrashSchema, {
      upstreamId: process.id,
      upstreamStartedAt: BigInt(process.startedAt),
      begun: encodeLost(begun),
      unbegun: encodeLost(unbegun),
    });
    yield [`crash/${process.id}/${process.startedAt}`, {case: 'crash', value}];
  }
  const survivals = [...detector.suspectSurvivals()];
  if (survivals.length > 0) {
    const value = create(SegmentSurvivalsSchema, {
      countBySegment: Object.fromEntries(
        survivals.map(({segment, count}) => [segment, count]),
      ),
    });
    yield ['survivals', {case: 'survivals', value}];
  }
  for (const quarantine of detector.quarantineDecisions()) {
    const {segment, decisionId, isLifted: lifted} = quarantine;
    const value = create(SegmentQuarantineSchema, {
      segment,
      decisionId,
      lifted,
    });
    yield [`quarantine/${segment}`, {case: 'quarantine', value}];
  }
}

/** The crash evidence that the peers publish. */
export function readPeerCrashEvidence(view: ClusterView): PeerCrashEvidence {
  return {
    crashes: view
      .peerCrashes()
      .map(({upstreamId, upstreamStartedAt, begun, unbegun}) => ({
        process: {id: upstreamId, startedAt: Number(upstreamStartedAt)},
        begun: decodeLost(begun),
        unbegun: decodeLost(unbegun),
      })),
    survivals: [...view.peerSurvivals()].map(([peer, {countBySegment}]) => ({
      peer,
      survivals: Object.entries(countBySegment).map(([segment, count]) => ({
        segment,
        count,
      })),
    })),
    quarantines: view
      .peerQuarantines()
      .map(({segment, decisionId, lifted}) => ({
        segment,
        decisionId,
        isLifted: lifted,
      })),
  };
}

function encodeLost({segments, requestCount}: LostRequests) {
  return create(LostRequestsSchema, {
    segments: [...segments].slice(0, MAXIMUM_PUBLISHED_SEGMENTS),
    requestCount,
  });
}

function decodeLost(
  lost: {segments: string[]; requestCount: number} | undefined,
): LostRequests {
  return {
    segments: new Set(lost?.segments),
    requestCount: lost?.requestCount ?? 0,
  };
}
