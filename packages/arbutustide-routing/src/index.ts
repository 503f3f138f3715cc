/** Routing of requests: admission, choice of upstream, retries and answers. */
export type {
  AdmissionOptions,
  EntryLoad,
  PeerDemand,
} from './admission_controller.js';
export type {
  AdmissionRequest,
  ConcurrencyLimits,
  Permit,
} from './concurrency_limiter.js';
export type {
  AnswerChunks,
  CallerAnswer,
  CallerRequest,
} from './caller_request.js';
export type {ReplicaChoiceContext} from './choose_replica.js';
export type {ReplicaChoiceSettings, DispatcherOptions} from './dispatcher.js';
export type {FleetAnswer} from './fleet/fleet_answer.js';
export type {FleetChoice, FleetChoiceSettings} from './fleet/fleet_choice.js';
export type {
  AttemptTerms,
  FleetConnector,
  UpstreamHead,
} from './fleet/fleet_connector.js';
export type {RequestDecision} from './fleet/fleet_decision.js';
export type {FleetDispatcherOptions} from './fleet/fleet_dispatcher.js';
export type {FleetProgress} from './fleet/fleet_progress.js';
export type {FleetRetryBudgetSettings} from './fleet/fleet_retry_budget.js';
export type {
  HeldModel,
  UpstreamDescription,
  UpstreamLoad,
} from './fleet/fleet_upstream.js';
export type {Place, PlaceQueueOptions} from './fleet/place_queue.js';
export type {
  CallerLimits,
  EngineDescription,
  ModelDescription,
  ModelName,
  Route,
  RouteTarget,
  ServiceDescription,
  ServingConfiguration,
} from './fleet/route.js';
export type {
  ModelRequest,
  PromptPart,
  RoutedRequest,
} from './fleet/routed_request.js';
export type {ClusterDemand} from './cluster_share.js';
export type {PeerSuspicions, Suspicion} from './poison_request_detector.js';
export type {Upstream, UpstreamObservation} from './upstream.js';
export type {UpstreamConnector} from './upstream_connector.js';
export type {Replica} from './upstream_directory.js';

export {AdmissionController} from './admission_controller.js';
export {ConcurrencyLimiter} from './concurrency_limiter.js';
export {AttemptRunner} from './attempt_runner.js';
export {AnswerEnd} from './caller_request.js';
export {chooseReplicas, predictedMilliseconds} from './choose_replica.js';
export {Dispatcher} from './dispatcher.js';
export {ServerSentEventParser} from './server_sent_event_parser.js';
export {AttemptOutcome} from './fleet/attempt_verdict.js';
export {chooseUpstream, NoChoice} from './fleet/fleet_choice.js';
export {
  adapterEntry,
  DemandCounter,
  modelEntry,
} from './fleet/demand_counter.js';
export {DecisionStep} from './fleet/fleet_decision.js';
export {FleetDirectory} from './fleet/fleet_directory.js';
export {FleetDispatcher} from './fleet/fleet_dispatcher.js';
export {remainingMilliseconds} from './fleet/fleet_progress.js';
export {FleetRetryBudget} from './fleet/fleet_retry_budget.js';
export {FleetUpstream, UpstreamState} from './fleet/fleet_upstream.js';
export {OrderedEvents} from './fleet/ordered_events.js';
export {PlaceQueue} from './fleet/place_queue.js';
export {isRepeatable, RequestKind} from './fleet/route.js';
export {pickTarget, RouteTable} from './fleet/route_table.js';
export {clusterShare} from './cluster_share.js';
export {MovingAverage} from './moving_average.js';
export {PoisonRequestDetector} from './poison_request_detector.js';
export {RetryBudget} from './retry_budget.js';
export {UpstreamDirectory} from './upstream_directory.js';
