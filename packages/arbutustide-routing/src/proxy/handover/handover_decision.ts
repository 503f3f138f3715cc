import type {Result} from 'ts-results';

import type {Route} from '../route.js';

import {Err, Ok} from 'ts-results';

import {isRepeatable} from '../route.js';

/** What is done for a stalled stream. */
export enum HandoverAction {
  /** Runs once more after its last event, at another upstream. */
  RESUME_ELSEWHERE = 'resume_elsewhere',
  /** Runs once more after its last event, more urgently, where it was. */
  RESUME_URGENTLY = 'resume_urgently',
  /** Runs once more after its last event, at an upstream it was at before. */
  RETURN_TO_EARLIER = 'return_to_earlier',
  /** Goes on as the same run, from a copy of its memory. */
  MOVE_MEMORY = 'move_memory',
  /** Stops and goes on from its memory where it is, before others. */
  READMIT = 'readmit',
  /** Is refused at once, for its caller to repeat it. */
  REFUSE = 'refuse',
}

/** Why a stream is left where it is. */
export enum StayReason {
  /** This node does not stop. */
  NOT_STOPPING = 'not_stopping',
  /** It has not begun, and may still end in time or must not be repeated. */
  NOT_BEGUN = 'not_begun',
  /** Its events come, or its caller does not take them. */
  NOT_STALLED = 'not_stalled',
  /** It could not begin anywhere else in the time that is left. */
  TOO_LATE = 'too_late',
  /** It must not run again, and its memory cannot be moved. */
  NOT_MOVABLE = 'not_movable',
  /** It has no attempt left, is as urgent as it can be, and was nowhere else. */
  NO_ATTEMPT_LEFT = 'no_attempt_left',
  /** No retry is left in the budget of its service. */
  NO_RETRY_LEFT = 'no_retry_left',
  /** No upstream could take it. */
  NO_UPSTREAM = 'no_upstream',
}

/** What the decision on one stream depends on; times are in milliseconds. */
export interface HandoverInput {
  readonly route: Route;
  /** Whether its route allows one more upstream. */
  readonly mayReachFurther: boolean;
  /** Whether its caller has events. */
  readonly hasEvents: boolean;
  /** Whether its upstream was told to serve it before others. */
  readonly isUrgent: boolean;
  /** Whether it was at another upstream before. */
  readonly hasEarlierUpstream: boolean;
  /**
   * Time that a stream of its kind is likely to take once it has begun, of one
   * without events; undefined if that is not known.
   */
  readonly expectedMilliseconds: number | undefined;
  /** Whether the memory of its run may be moved, as far as is known. */
  readonly isMovable: boolean;
  /** Since a move failed whose run went on; Infinity if none has. */
  readonly sinceMoveFailedMilliseconds: number;
  /** Whether a move of its run found no room since its last event. */
  readonly hasFoundNoRoom: boolean;
  /** How long its upstream has kept this node waiting. */
  readonly stalledMilliseconds: number;
  /** Median of its latest pauses; undefined if it has had none. */
  readonly usualPauseMilliseconds: number | undefined;
  /** Longest of its latest pauses; undefined if it has had none. */
  readonly longestUsualPauseMilliseconds: number | undefined;
  /** Whether it has had enough pauses to tell its pace. */
  readonly hasKnownPace: boolean;
  /**
   * Until the answers of this node, or the request's deadline, end; Infinity
   * unless the node stops.
   */
  readonly leftMilliseconds: number;
}

/**
 * Time that an upstream may take for the next event, as a share of the time after
 * which callers leave, and of the time left in the stop.
 */
const PATIENCE_SHARE = 0.25;
/** Factor on that time while the pace of a stream is not known. */
const UNKNOWN_PACE_FACTOR = 2;
/** Pauses as long as this, relative to the usual one, are no stall. */
const USUAL_PAUSES = 4;
/**
 * The same relative to the longest of the latest pauses. The events of an engine
 * that reads long prompts come slowly, and at an even pace.
 */
const LONGEST_USUAL_PAUSES = 1.5;
/** Below it, a pause may come from the network or the event loop. */
const MINIMUM_PATIENCE_MILLISECONDS = 150;
/**
 * Stalls after which a run is stopped without a place elsewhere. It is lost if
 * its upstream does not answer the call that stops it.
 */
const STALLS_BEFORE_READMISSION = 2;
/** For another upstream to read the prompt and make an event. */
export const MINIMUM_LEFT_MILLISECONDS = 250;

/**
 * Decides whether a stream of a node that stops is handed over, and how. Its
 * upstream may hold it back for more urgent work until it is too late: the
 * upstream does not know that the node ends before the deadline.
 *
 * @return the ways to hand it over, the best one first.
 */
export function decideHandover(
  input: HandoverInput,
): Result<readonly HandoverAction[], StayReason> {
  const {route, leftMilliseconds} = input;
  if (leftMilliseconds === Infinity) return Err(StayReason.NOT_STOPPING);
  if (!isStalled(input)) return Err(StayReason.NOT_STALLED);
  if (!input.hasEvents) return decideUnbegun(input);
  if (leftMilliseconds < MINIMUM_LEFT_MILLISECONDS)
    return Err(StayReason.TOO_LATE);
  const ways = [...waysToGoOn(input)];
  if (ways.length > 0) return Ok(ways);
  return Err(
    isRepeatable(route) ? StayReason.NO_ATTEMPT_LEFT : StayReason.NOT_MOVABLE,
  );
}

/** The ways for a stream to go on, the best one first. */
function* waysToGoOn(
  input: HandoverInput,
): Generator<HandoverAction, void, undefined> {
  const {route, mayReachFurther, isUrgent, hasEarlierUpstream} = input;
  const {isMovable, sinceMoveFailedMilliseconds} = input;
  // Other ways come before another try to move it.
  if (isMovable && sinceMoveFailedMilliseconds >= patienceOf(input))
    yield HandoverAction.MOVE_MEMORY;
  if (!isRepeatable(route)) {
    if (mayBeReadmitted(input)) yield HandoverAction.READMIT;
    return;
  }
  if (mayReachFurther) yield HandoverAction.RESUME_ELSEWHERE;
  // The route bounds the number of upstreams, not of attempts at one of them.
  if (hasEarlierUpstream) yield HandoverAction.RETURN_TO_EARLIER;
  if (!isUrgent) yield HandoverAction.RESUME_URGENTLY;
}

function mayBeReadmitted(input: HandoverInput): boolean {
  const {isMovable, hasFoundNoRoom, stalledMilliseconds} = input;
  const bound = STALLS_BEFORE_READMISSION * patienceOf(input);
  return isMovable && hasFoundNoRoom && stalledMilliseconds >= bound;
}

/** Passed on too late, its first events would commit the node to the rest. */
function decideUnbegun({
  route,
  leftMilliseconds,
  expectedMilliseconds = 0,
}: HandoverInput): Result<readonly HandoverAction[], StayReason> {
  const isHopeless = leftMilliseconds < expectedMilliseconds;
  return isHopeless && isRepeatable(route)
    ? Ok([HandoverAction.REFUSE])
    : Err(StayReason.NOT_BEGUN);
}

function isStalled(input: HandoverInput): boolean {
  return input.stalledMilliseconds >= patienceOf(input);
}

/** For how long the next event of a stream is awaited. */
function patienceOf(input: HandoverInput): number {
  const {route, leftMilliseconds} = input;
  const bound = Math.min(route.callerTimeoutMilliseconds, leftMilliseconds);
  const share = PATIENCE_SHARE * bound;
  const patience = Math.max(
    share,
    longestPauseOf(input, UNKNOWN_PACE_FACTOR * share),
  );
  return Math.max(MINIMUM_PATIENCE_MILLISECONDS, patience);
}

/**
 * The longest pause that may be the pace of a stream.
 *
 * @param ifUnknown the same while its pace is not known.
 */
function longestPauseOf(
  {
    usualPauseMilliseconds: usualPause,
    longestUsualPauseMilliseconds: longestPause,
    hasKnownPace,
  }: HandoverInput,
  ifUnknown: number,
): number {
  if (usualPause === undefined || longestPause === undefined) return ifUnknown;
  const byLongest = LONGEST_USUAL_PAUSES * longestPause;
  return Math.min(
    USUAL_PAUSES * usualPause,
    hasKnownPace ? byLongest : Math.max(byLongest, ifUnknown),
  );
}
