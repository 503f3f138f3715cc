import type {LogLine} from './log_line.js';

import {ErrorKind} from '@arbutustide/errors';
import {PlannerStep} from '@arbutustide/placement';
import {OrderKind} from '@arbutustide/upstream';

/** Messages of a request's own lines and of the planner's. */
const REQUEST_MESSAGE = 'request';
const PLANNER_MESSAGE = 'planner';
/** Steps that end a request. */
const FINAL_STEPS: ReadonlySet<unknown> = new Set(['refused', 'ended']);
const PLACED_STEP = 'placed';
const ATTEMPT_ENDED_STEP = 'attempt_ended';
const COMPLETE_END = 'whole';
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * How long before a request's arrival and after its end other lines may bear on
 * it: the longest gap without a planner.
 */
const PLANNER_CONTEXT_MILLISECONDS = 10_000;
/** Requests at an upstream beyond which it was probably slow, by its slots. */
const BUSY_UPSTREAM_REQUESTS = 24;

/** What happened to one request, and why. */
export interface RequestTrace {
  /** The request's own lines, in order. */
  readonly lines: readonly LogLine[];
  /** Lines of the planner and of dependencies that bear on it. */
  readonly context: readonly LogLine[];
  readonly cause: string;
}

type OutcomeExplainer = (
  final: LogLine,
  trace: Omit<RequestTrace, 'cause'>,
) => string;

/** Tells the story of a request; undefined when no line names it. */
export function traceRequest(
  allLines: readonly LogLine[],
  requestId: string,
): RequestTrace | undefined {
  const lines = allLines
    .filter(line => belongsToRequest(line, requestId))
    .sort(compareByTime);
  const [first] = lines;
  const last = lines.at(-1);
  if (!first || !last) return undefined;
  const context = allLines
    .filter(line => isRelevantPlannerLine(line, first, last))
    .sort(compareByTime);
  const trace = {lines, context};
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

/** Changes of the lease, and orders and failures that concern its model. */
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
  const final = trace.lines.find(({fields}) => FINAL_STEPS.has(fields['step']));
  if (!final)
    return 'no line tells how it ended: the node stopped, or lines were dropped';
  const kind = final.fields['kind'];
  const explain = EXPLAINER_BY_ERROR_KIND[kind as ErrorKind] ?? explainAnswer;
  return explain(final, trace);
}

const EXPLAINER_BY_ERROR_KIND: Partial<
  Readonly<Record<ErrorKind, OutcomeExplainer>>
> = {
  [ErrorKind.NO_REPLICA]: (final, story) =>
    `no engine held ${String(final.fields['model'])}; ${explainModelLoad(story)}`,
  [ErrorKind.DEADLINE_UNREACHABLE]: final =>
    `every upstream that could take it had as much work as it may have, for ${String(final.fields['elapsedMilliseconds'])} ms`,
  [ErrorKind.UPSTREAM_BROKEN]: (_final, story) =>
    `its upstream broke off: ${explainLastAttempt(story)}`,
  [ErrorKind.UPSTREAM_UNREACHABLE]: (_final, story) =>
    `no upstream took it: ${explainLastAttempt(story)}`,
  [ErrorKind.UPSTREAM_TIMED_OUT]: (_final, story) =>
    `its time was over before an answer came; ${explainUpstreamChoice(story)}`,
  [ErrorKind.CALLER_GONE]: (_final, story) =>
    `its caller left; ${explainUpstreamChoice(story)}`,
  [ErrorKind.REQUEST_QUARANTINED]: () =>
    'requests like it broke the connections of several upstreams',
};

/** A request that was answered, whole or not. */
function explainAnswer(
  {fields}: LogLine,
  trace: Omit<RequestTrace, 'cause'>,
): string {
  const {end, kind, firstEventMilliseconds: firstEvent} = fields;
  if (end === COMPLETE_END) {
    const late =
      firstEvent === undefined ? '' : ` after ${String(firstEvent)} ms`;
    return `answered whole${late}; ${explainUpstreamChoice(trace)}`;
  }
  return `ended as ${String(end ?? kind)}; ${explainLastAttempt(trace)}`;
}

/** Who had the model loaded after the refusal, and what came in between. */
function explainModelLoad({
  lines,
  context,
}: Omit<RequestTrace, 'cause'>): string {
  const refusedAt = lines[lines.length - 1].atMilliseconds;
  const load = context.find(
    line => line.atMilliseconds >= refusedAt && isModelLoad(line),
  );
  const until = load?.atMilliseconds ?? Infinity;
  const gained = context.find(
    ({fields, atMilliseconds}) =>
      fields['step'] === PlannerStep.LEASE_GAINED && atMilliseconds < until,
  );
  const change = gained ? `${gained.node} had become the planner, ` : '';
  if (!load) return `${change}no load of it was ordered in the time after`;
  const seconds = (load.atMilliseconds - refusedAt) / MILLISECONDS_PER_SECOND;
  return `${change}${load.node} ordered a load ${seconds.toFixed(1)} s later (${String(load.fields['answer'])})`;
}

function isModelLoad({fields}: LogLine): boolean {
  const order = fields['order'] as {kind?: unknown; adapter?: unknown};
  return order?.kind === OrderKind.LOAD && order.adapter === undefined;
}

function explainLastAttempt({lines}: Omit<RequestTrace, 'cause'>): string {
  const attempt = lines.findLast(
    ({fields}) => fields['step'] === ATTEMPT_ENDED_STEP,
  );
  if (!attempt) return 'no attempt failed before';
  const {upstream, outcome, reason, status} = attempt.fields;
  const why = String(reason ?? `status ${String(status)}`);
  return `${String(upstream)}: ${String(outcome)}, ${why}`;
}

function explainUpstreamChoice({lines}: Omit<RequestTrace, 'cause'>): string {
  const place = lines.findLast(({fields}) => fields['step'] === PLACED_STEP);
  if (!place) return 'it was given no place';
  const {upstream, load, waitedMilliseconds} = place.fields;
  const busy = Number(load) >= BUSY_UPSTREAM_REQUESTS ? ', which is busy' : '';
  return `it waited ${String(waitedMilliseconds)} ms for ${String(upstream)} with ${String(load)} requests${busy}`;
}
