import type {
  LeavingDecision,
  LeavingInput,
  ProxyUpstreamDirectory,
  RequestDecision,
} from '@arbutustide/routing';
import type {NodeMetrics} from '@arbutustide/telemetry';

import {DecisionStep} from '@arbutustide/routing';

const MILLISECONDS_PER_SECOND = 1_000;

/** Whether a request was sent to an upstream of this node's failure domain. */
export enum Placement {
  LOCAL = 'local',
  ELSEWHERE = 'elsewhere',
}

/** Shows the last decision of a service to leave the failure domain. */
export function createLeavingRecorder(
  {leavingShare, extraPathSeconds}: NodeMetrics,
  service: string,
): (decision: LeavingDecision, input: LeavingInput) => void {
  return (decision, {extraPathMilliseconds}) => {
    leavingShare.set({entry: service}, decision.leavingShare);
    extraPathSeconds.set(
      {entry: service},
      extraPathMilliseconds / MILLISECONDS_PER_SECOND,
    );
  };
}

/** Counts a request that got a slot at an upstream of the directory. */
export function recordPlacement(
  {step, service, upstream: id}: RequestDecision,
  {placements}: NodeMetrics,
  directory: ProxyUpstreamDirectory,
  ownFailureDomain: string,
): void {
  if (step !== DecisionStep.PLACED || id === undefined) return;
  const upstream = directory.get(id);
  if (!upstream) return;
  const isLocal = upstream.description.failureDomain === ownFailureDomain;
  placements.inc({
    entry: service,
    place: isLocal ? Placement.LOCAL : Placement.ELSEWHERE,
  });
}
