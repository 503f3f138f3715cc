import type {ErrorKind, ExecutionStatus} from '@arbutustide/errors';

import type {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptTrace} from './handover/attempt_trail.js';
import type {HandoverAction, StayReason} from './handover/handover_decision.js';
import type {MemoryMoveOutcome} from './handover/memory_mover.js';

/** Step of a request's handling that is recorded as a decision. */
export enum DecisionStep {
  PLACED = 'placed',
  ATTEMPT_ENDED = 'attempt_ended',
  STREAM_RESUMED = 'stream_resumed',
  /** A stream is handed over to another place, as this node stops. */
  HANDOVER = 'handover',
  /** A way to hand a stream over has no place, for a reason not told before. */
  PLACE_MISSED = 'place_missed',
  /** A run has stopped, and goes on from a copy of its memory. */
  MEMORY_MOVED = 'memory_moved',
  /** The memory of a run was to be moved, and the run does not go on from it. */
  MOVE_FAILED = 'move_failed',
  /** Another attempt was to go on with a stream, and the stream stays. */
  REPLACEMENT_FAILED = 'replacement_failed',
  REFUSED = 'refused',
  ENDED = 'ended',
}

/** One recorded decision about a request, with the inputs it is based on. */
export interface RequestDecision {
  readonly requestId: string;
  readonly step: DecisionStep;
  readonly route: string;
  readonly service: string;
  /** Version of the configuration that the request was routed by. */
  readonly configurationVersion: number;
  /** Name of the caller's team. */
  readonly team?: string;
  readonly model?: string;
  /** Ids of the prompt's shared segments. */
  readonly sharedSegments?: readonly string[];
  readonly upstream?: string;
  /** Name of the peer that makes the attempt in this node's place. */
  readonly peer?: string;
  /** Software version of the upstream. */
  readonly softwareVersion?: string;
  /** Id of the request that began the stream which this one resumes. */
  readonly resumedRequestId?: string;
  /** Id of the last event that the caller has of a stream. */
  readonly lastEventId?: number;
  /** In-flight requests at the upstream, as estimated for the choice. */
  readonly load?: number;
  readonly waitedMilliseconds?: number;
  /** Longest time for which the request can have waited to be read. */
  readonly unreadMilliseconds?: number;
  /** Whether an attempt was to go on from the memory of a stopped run. */
  readonly isFromMemory?: boolean;
  /** Time from the begin of an attempt to its end. */
  readonly attemptMilliseconds?: number;
  readonly attempts?: number;
  readonly outcome?: AttemptOutcome;
  readonly status?: number;
  readonly kind?: ErrorKind;
  readonly ran?: ExecutionStatus;
  readonly retryAfterMilliseconds?: number;
  readonly end?: string;
  readonly elapsedMilliseconds?: number;
  readonly firstEventMilliseconds?: number;
  readonly longestPauseMilliseconds?: number;
  /** Of a stream that did not end whole. */
  readonly sinceLastEventMilliseconds?: number;
  readonly eventCount?: number;
  readonly priority?: number;
  /** Ids of the upstreams to which it was sent, in order. */
  readonly triedUpstreams?: readonly string[];
  readonly stayReason?: StayReason;
  /** Attempts of a stream that broke off, in order. */
  readonly attemptTraces?: readonly AttemptTrace[];
  /** How long the last attempt that was to go on with it waited in vain. */
  readonly replacementWaitMilliseconds?: number;
  /** Other streams of this node that had not ended then. */
  readonly otherStreams?: number;
  /** Of a handover. */
  readonly action?: HandoverAction;
  readonly stalledMilliseconds?: number;
  /** Of a move of memory. */
  readonly moveOutcome?: MemoryMoveOutcome;
  readonly moveMilliseconds?: number;
  /** Ids of the upstreams that were asked for room, in order. */
  readonly askedUpstreams?: readonly string[];
  readonly leftMilliseconds?: number;
  readonly reason?: string;
}
