import type {AnswerPeriod} from './answer_period.js';
import type {DemandedEntry} from './demand_counter.js';
import type {MemoryMover} from './handover/memory_mover.js';
import type {RequestRelay} from './relay/request_relay.js';
import type {RequestDecision} from './request_decision.js';
import type {RequestGate} from './request_gate.js';
import type {RoutedRequest} from './routed_request.js';
import type {StreamOrigins} from './stream_origin/stream_origin.js';
import type {UpstreamTargetOptions} from './upstream_target.js';

/** Retry budget and callbacks of a dispatcher. */
export interface ProxyDispatcherOptions extends UpstreamTargetOptions {
  /** Counts a request against its service's retry budget. */
  readonly recordRequest: (service: string) => void;
  /** Counts the demand of a request that was refused on arrival. */
  readonly recordRefusedDemand: (entry: DemandedEntry) => void;
  /** Consumes one retry of the service's budget; false if none is left. */
  readonly tryConsumeRetry: (service: string) => boolean;
  readonly relay: RequestRelay;
  readonly onDecision: (decision: RequestDecision) => void;
  readonly streamOrigins: StreamOrigins;
  readonly gate: RequestGate;
  readonly answerPeriod: AnswerPeriod;
  /** Undefined if no upstream moves memory. */
  readonly memoryMover?: MemoryMover;
  /** Whether the upstreams of a service move memory; none do if absent. */
  readonly movesMemory?: (service: string) => boolean;
  /** Times of streams from the first event to the end; none are kept if absent. */
  readonly streamTimes?: StreamTimes;
}

/** How long streams take from the first event to the end. */
export interface StreamTimes {
  record(request: RoutedRequest, milliseconds: number, isWhole: boolean): void;
  /** Time that one is likely to take; undefined if that is not known. */
  likelyMilliseconds(request: RoutedRequest): number | undefined;
}
