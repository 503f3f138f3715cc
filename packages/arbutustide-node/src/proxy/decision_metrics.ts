import type {PlannerEvent} from '@arbutustide/placement';
import type {RequestDecision} from '@arbutustide/routing';
import type {NodeMetrics} from '@arbutustide/telemetry';

import {PlannerStep, UnloadedReason} from '@arbutustide/placement';
import {DecisionStep} from '@arbutustide/routing';

const MILLISECONDS_PER_SECOND = 1_000;
/** For requests without a team. */
const NO_TEAM = '';

type RequestRecorder = (
  decision: RequestDecision,
  metrics: NodeMetrics,
) => void;

const REQUEST_RECORDERS: Readonly<Record<DecisionStep, RequestRecorder>> = {
  [DecisionStep.PLACED]: (decision, metrics) => {
    const {waitedMilliseconds = 0, unreadMilliseconds = 0} = decision;
    metrics.queuedSeconds.observe(
      requestLabels(decision),
      toSeconds(waitedMilliseconds),
    );
    metrics.unreadSeconds.observe(
      requestLabels(decision),
      toSeconds(unreadMilliseconds),
    );
  },
  [DecisionStep.ATTEMPT_ENDED]: ({service}, metrics) =>
    metrics.retries.inc({entry: service}),
  [DecisionStep.STREAM_RESUMED]: ({service}, metrics) =>
    metrics.retries.inc({entry: service}),
  [DecisionStep.HANDOVER]: ({service, action = ''}, metrics) =>
    metrics.handovers.inc({entry: service, action}),
  [DecisionStep.PLACE_MISSED]: (
    {service, action = '', stayReason = ''},
    metrics,
  ) => metrics.missedPlaces.inc({entry: service, action, reason: stayReason}),
  [DecisionStep.MEMORY_MOVED]: recordMove,
  [DecisionStep.MOVE_FAILED]: recordMove,
  [DecisionStep.REPLACEMENT_FAILED]: ({service}, metrics) =>
    metrics.retries.inc({entry: service}),
  [DecisionStep.REFUSED]: ({kind = '', ran = '', team = NO_TEAM}, metrics) => {
    metrics.refusals.inc({kind, ran});
    if (team !== NO_TEAM) metrics.teamRefusals.inc({tenant: team, kind});
  },
  [DecisionStep.ENDED]: (decision, metrics) => {
    const {end = '', elapsedMilliseconds = 0} = decision;
    const {firstEventMilliseconds, longestPauseMilliseconds} = decision;
    metrics.answers.inc({...requestLabels(decision), end});
    metrics.requestSeconds.observe(
      requestLabels(decision),
      toSeconds(elapsedMilliseconds),
    );
    if (firstEventMilliseconds !== undefined) {
      metrics.firstTokenSeconds.observe(
        requestLabels(decision),
        toSeconds(firstEventMilliseconds),
      );
    }
    if (longestPauseMilliseconds !== undefined) {
      metrics.betweenTokensSeconds.observe(
        requestLabels(decision),
        toSeconds(longestPauseMilliseconds),
      );
    }
  },
};

function recordMove(
  {service, moveOutcome}: RequestDecision,
  metrics: NodeMetrics,
): void {
  metrics.memoryMoves.inc({entry: service, outcome: moveOutcome ?? ''});
}

/** Updates the request metrics from one decision of the dispatcher. */
export function recordRequestMetrics(
  decision: RequestDecision,
  metrics: NodeMetrics,
): void {
  REQUEST_RECORDERS[decision.step](decision, metrics);
}

type PlannerRecorder = (event: PlannerEvent, metrics: NodeMetrics) => void;

const PLANNER_RECORDERS: Readonly<
  Partial<Record<PlannerStep, PlannerRecorder>>
> = {
  [PlannerStep.ORDERED]: ({order, answer}, metrics) => {
    if (!order) return;
    metrics.plannerOrders.inc({kind: order.kind, reason: answer ?? ''});
  },
  [PlannerStep.MODEL_LOADED]: ({waitedMilliseconds = 0}, metrics) =>
    metrics.modelWaitSeconds.observe(toSeconds(waitedMilliseconds)),
  [PlannerStep.PASSES]: ({passes}, metrics) => {
    if (!passes) return;
    metrics.plannerPasses.inc(passes.passes);
    metrics.plannerPassSeconds.set(toSeconds(passes.longestPassMilliseconds));
    metrics.plannerDelaySeconds.set(toSeconds(passes.longestDelayMilliseconds));
    for (const reason of Object.values(UnloadedReason))
      metrics.unloadedModels.set({reason}, passes.unloaded[reason] ?? 0);
  },
  [PlannerStep.LEASE_LOST]: (_event, metrics) => metrics.unloadedModels.reset(),
};

/** Updates the metrics of the planner from one of its events. */
export function recordPlannerMetrics(
  event: PlannerEvent,
  metrics: NodeMetrics,
): void {
  PLANNER_RECORDERS[event.step]?.(event, metrics);
}

/** The names of teams are those of a configuration, so they are few. */
function requestLabels({route, team = NO_TEAM}: RequestDecision) {
  return {tenant: team, class: route};
}

function toSeconds(milliseconds: number): number {
  return milliseconds / MILLISECONDS_PER_SECOND;
}
