import type {LogLine} from './log_line.js';

import {ErrorKind} from '@arbutustide/errors';
import {PlannerStep} from '@arbutustide/placement';
import {OrderKind} from '@arbutustide/upstream';

/** Messages of the log lines about a request and about the planner. */
const REQUEST_MESSAGE = 'request';
const PLANNER_MESSAGE = 'planner';
/** Steps in which the outcome of a request is logged. */
const FINAL_STEPS: ReadonlySet<unknown> = new Set(['refused', 'ended']);
const PLACED_STEP = 'placed';
const ATTEMPT_ENDED_STEP = 'attempt_ended';
const COMPLETE_END = 'whole';
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Planner lines up to this long before the first and after the last line of a
 * request are shown with it. It is the longest time without a planner.
 */
const PLANNER_CONTEXT_MILLISECONDS = 10_000;
/**
 * An upstream with at least this many requests was probably slow; derived from
 * its number of slots.
 */
const BUSY_UPSTREAM_REQUESTS = 24;

/** Log lines of one request and the cause of its outcome. */
export interface RequestTrace {
  /** Lines of the request, by time. */
  readonly requestLines: readonly LogLine[];
  /** Lines of the planner that may explain the outcome, by time. */
  readonly plannerLines: readonly LogLine[];
  /** Sentence for the operator. */
  readonly cause: string;
}

type OutcomeExplainer = (
  final: LogLine,
  trace: Omit<RequestTrace, 'cause'>,
) => string;

/**
 * Finds the log lines of a request, in the lines of any number of nodes, and
 * derives the cause of its outcome. Undefined if no line belongs to it.
 */
export function traceRequest(
  allLines: readonly LogLine[],
  requestId: string,
): RequestTrace | undefined {
  const requestLines = allLines
    .filter(line => belongsToRequest(line, requestId))
    .sort(compareByTime);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (!first || !last) return undefined;
  const plannerLines = allLines
    .filter(line => isRelevantPlannerLine(line, first, last))
    .sort(compareByTime);
  const trace = {requestLines, plannerLines};
  return {...trace, cause: explainOutcome(trace)};
}

function belongsToRequest(
  {message, fields}: LogLine,
  requestId: string,
): boolean {
  return message === REQUEST_MESSAGE && fields['requestId'] === requestId;
}

function compareByTime(left: LogLine, right: LogLine): number {
  return left.atMilliseconds - right.atMilliseconds;
}

/**
 * Whether a planner line is close in time to the request, and its order is for
 * the model of the request or it concerns no model, such as a lease change.
 */
function isRelevantPlannerLine(
  line: LogLine,
  first: LogLine,
  last: LogLine,
): boolean {
  const {message, fields, atMilliseconds} = line;
  const isNear =
    atMilliseconds > first.atMilliseconds - PLANNER_CONTEXT_MILLISECONDS &&
    atMilliseconds < last.atMilliseconds + PLANNER_CONTEXT_MILLISECONDS;
  if (!isNear || message !== PLANNER_MESSAGE) return false;
  const model = first.fields['model'];
  const order = fields['order'] as {model?: unknown} | undefined;
  return order ? order.model === model : fields['model'] === undefined;
}

function explainOutcome(trace: Omit<RequestTrace, 'cause'>): string {
  const final = trace.requestLines.find(({fields}) =>
    FINAL_STEPS.has(fields['step']),
  );
  if (!final)
    return 'no log line shows how it ended: the node stopped, or log lines were dropped';
  const kind = final.fields['kind'];
  const explain = EXPLAINER_BY_ERROR_KIND[kind as ErrorKind] ?? explainAnswer;
  return explain(final, trace);
}

const EXPLAINER_BY_ERROR_KIND: Partial<
  Readonly<Record<ErrorKind, OutcomeExplainer>>
> = {
  [ErrorKind.NO_REPLICA]: (final, trace) =>
    `no engine had ${String(final.fields['model'])} loaded; ${explainModelLoad(trace)}`,
  [ErrorKind.DEADLINE_UNREACHABLE]: final =>
    `for ${String(final.fields['elapsedMilliseconds'])} ms, no upstream that could run it had a free slot`,
  [ErrorKind.UPSTREAM_BROKEN]: (_final, trace) =>
    `its upstream failed during the request: ${explainLastAttempt(trace)}`,
  [ErrorKind.UPSTREAM_UNREACHABLE]: (_final, trace) =>
    `no upstream could be reached: ${explainLastAttempt(trace)}`,
  [ErrorKind.UPSTREAM_TIMED_OUT]: (_final, trace) =>
    `its deadline passed before an answer arrived; ${explainUpstreamChoice(trace)}`,
  [ErrorKind.CALLER_GONE]: (_final, trace) =>
    `its caller disconnected; ${explainUpstreamChoice(trace)}`,
  [ErrorKind.UNKNOWN_ROUTE]: ({fields}) =>
    `configuration version ${String(fields['configurationVersion'])} of the node has no route for it`,
  [ErrorKind.REQUEST_QUARANTINED]: () =>
    'similar requests broke the connections of several upstreams',
};

/** Explains the outcome of a request of which at least a part was answered. */
function explainAnswer(
  {fields}: LogLine,
  trace: Omit<RequestTrace, 'cause'>,
): string {
  const {end, kind, firstEventMilliseconds: firstEvent} = fields;
  if (end === COMPLETE_END) {
    const firstEventDelay =
      firstEvent === undefined
        ? ''
        : ` with the first event after ${String(firstEvent)} ms`;
    return `answered completely${firstEventDelay}; ${explainUpstreamChoice(trace)}`;
  }
  return `ended with ${String(end ?? kind)}; ${explainLastAttempt(trace)}`;
}

/**
 * Explains when a load of the model was ordered after the refusal, and whether
 * the planner changed before that.
 */
function explainModelLoad({
  requestLines,
  plannerLines,
}: Omit<RequestTrace, 'cause'>): string {
  const refusedAt = requestLines[requestLines.length - 1].atMilliseconds;
  const loadOrder = plannerLines.find(
    line => line.atMilliseconds >= refusedAt && isModelLoad(line),
  );
  const loadOrderedAt = loadOrder?.atMilliseconds ?? Infinity;
  const leaseGained = plannerLines.find(
    ({fields, atMilliseconds}) =>
      fields['step'] === PlannerStep.LEASE_GAINED &&
      atMilliseconds < loadOrderedAt,
  );
  const plannerChange = leaseGained
    ? `${leaseGained.node} had become the planner, `
    : '';
  if (!loadOrder)
    return `${plannerChange}no load of the model was ordered afterwards`;
  const seconds =
    (loadOrder.atMilliseconds - refusedAt) / MILLISECONDS_PER_SECOND;
  return `${plannerChange}${loadOrder.node} ordered a load ${seconds.toFixed(1)} s later (${String(loadOrder.fields['answer'])})`;
}

function isModelLoad({fields}: LogLine): boolean {
  const order = fields['order'] as {kind?: unknown; adapter?: unknown};
  return order?.kind === OrderKind.LOAD && order.adapter === undefined;
}

function explainLastAttempt({
  requestLines,
}: Omit<RequestTrace, 'cause'>): string {
  const attempt = requestLines.findLast(
    ({fields}) => fields['step'] === ATTEMPT_ENDED_STEP,
  );
  if (!attempt) return 'no earlier attempt failed';
  const {upstream, outcome, reason, status} = attempt.fields;
  const failure = String(reason ?? `status ${String(status)}`);
  return `${String(upstream)}: ${String(outcome)}, ${failure}`;
}

function explainUpstreamChoice({
  requestLines,
}: Omit<RequestTrace, 'cause'>): string {
  const placement = requestLines.findLast(
    ({fields}) => fields['step'] === PLACED_STEP,
  );
  if (!placement) return 'no upstream slot was assigned to it';
  const {upstream, load, waitedMilliseconds} = placement.fields;
  const busy = Number(load) >= BUSY_UPSTREAM_REQUESTS ? ', which is busy' : '';
  return `it waited ${String(waitedMilliseconds)} ms for a slot at ${String(upstream)} with ${String(load)} requests${busy}`;
}
