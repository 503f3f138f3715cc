/** Routing of requests: admission, choice of upstream, retries and answers. */
export type {DemandedEntry} from './proxy/demand_counter.js';
export type {AnswerPeriod} from './proxy/answer_period.js';
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
export type {
  RelayedHead,
  RelayedProgress,
  RelayFailure,
  RelayPeer,
  RequestRelay,
} from './proxy/relay/request_relay.js';
export type {BrittleTerms} from './proxy/brittleness/brittle_terms.js';
export type {ReachabilityMonitorOptions} from './proxy/reachability/reachability_monitor.js';
export type {
  MemoryCopy,
  MemoryMove,
  MemoryMover,
} from './proxy/handover/memory_mover.js';
export type {ProxyAnswer} from './proxy/proxy_answer.js';
export type {
  UpstreamChoice,
  UpstreamChoiceSettings,
} from './proxy/choose_upstream.js';
export type {
  AttemptOptions,
  ProxyConnector,
  UpstreamResponseHead,
  UpstreamSignals,
  UpstreamSignalsHandler,
} from './proxy/proxy_connector.js';
export type {CrashCause} from './proxy/crash_attribution/attribute_crashes.js';
export type {
  PeerCrashEvidence,
  PeerSurvivals,
  PoisonSegmentDetectorOptions,
  SegmentSurvivals,
} from './proxy/crash_attribution/poison_segment_detector.js';
export type {Quarantine} from './proxy/crash_attribution/quarantine_list.js';
export type {
  LostRequests,
  UpstreamCrash,
} from './proxy/crash_attribution/upstream_crash.js';
export type {UpstreamProcess} from './proxy/departed_upstreams.js';
export type {RequestDecision} from './proxy/request_decision.js';
export type {GateAdmission, RequestGate} from './proxy/request_gate.js';
export type {
  LeavingDecision,
  LeavingInput,
} from './proxy/balance/leaving_the_domain.js';
export type {PickSettings} from './proxy/balance/pick_upstream.js';
export type {ProxyDispatcherOptions} from './proxy/proxy_dispatcher_options.js';
export type {RoutedRequestProgress} from './proxy/routed_request_progress.js';
export type {
  ClusterRetryBudgetSettings,
  RetryCounts,
} from './proxy/cluster_retry_budget.js';
export type {HandoverSummary} from './proxy/handover/handover_tally.js';
export type {
  HeldModel,
  UpstreamDescription,
  UpstreamLoad,
} from './proxy/proxy_upstream.js';
export type {
  ExpectedWaitInputs,
  WaitingEntry,
} from './proxy/queue/expected_wait.js';
export type {
  UpstreamSlot,
  SlotQueueOptions,
} from './proxy/queue/slot_queue_options.js';
export type {
  CallerLimits,
  EngineDescription,
  ModelDescription,
  ModelReference,
  Route,
  RouteTarget,
  ServiceDescription,
  ServingConfiguration,
  TeamDescription,
  TeamQuota,
} from './proxy/route.js';
export type {RateLimitObservation} from './proxy/rate_limit/rate_limit_observation.js';
export type {
  TokenRequest,
  TokenResponse,
} from './proxy/rate_limit/token_issuer.js';
export type {
  OriginEvidence,
  ResolvedOrigin,
  StreamOrigin,
  StreamOrigins,
} from './proxy/stream_origin/stream_origin.js';
export type {StreamOriginRecord} from './proxy/stream_origin/stream_origin_registry.js';
export type {
  ModelRequest,
  PromptSegment,
  RequestTeam,
  RoutedRequest,
} from './proxy/routed_request.js';
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
export {quarantineRefusal} from './dispatch_refusals.js';
export {ServerSentEventParser} from './server_sent_event_parser.js';
export {AttemptOutcome} from './proxy/attempt_outcome.js';
export {
  PoisonSegmentDetector,
  ProcessState,
} from './proxy/crash_attribution/poison_segment_detector.js';
export {
  DepartedUpstreams,
  DepartureSource,
} from './proxy/departed_upstreams.js';
export {
  chooseRateLimited,
  chooseUpstream,
  compatibleUpstreams,
  expectedAcceptanceMilliseconds,
  NoUpstreamReason,
} from './proxy/choose_upstream.js';
export {
  adapterEntryName,
  DemandCounter,
  modelEntryName,
} from './proxy/demand_counter.js';
export {DecisionStep} from './proxy/request_decision.js';
export {
  createBrittleTerms,
  GATEKEEPERS_PER_UPSTREAM,
} from './proxy/brittleness/brittle_terms.js';
export {BrittleServices} from './proxy/brittleness/brittle_services.js';
export {
  hasRunStopped,
  MemoryMoveOutcome,
} from './proxy/handover/memory_mover.js';
export {ProbeKind} from './proxy/proxy_connector.js';
export {ProxyUpstreamDirectory} from './proxy/proxy_upstream_directory.js';
export {ENDLESS_ANSWER_PERIOD} from './proxy/answer_period.js';
export {ProxyDispatcher} from './proxy/proxy_dispatcher.js';
export {CancelReason} from './proxy/proxy_refusals.js';
export {
  ranSoFar,
  remainingForUpstream,
  remainingMilliseconds,
} from './proxy/routed_request_progress.js';
export {TokenIssuer} from './proxy/rate_limit/token_issuer.js';
export {
  listVersions,
  RecentVersions,
} from './proxy/stream_origin/recent_versions.js';
export {
  OriginKnowledge,
  resolveOrigin,
} from './proxy/stream_origin/stream_origin.js';
export {StreamOriginRegistry} from './proxy/stream_origin/stream_origin_registry.js';
export {ClusterRetryBudget} from './proxy/cluster_retry_budget.js';
export {ReachabilityMonitor} from './proxy/reachability/reachability_monitor.js';
export {ReachabilityChange} from './proxy/reachability/service_reachability.js';
export {ProxyUpstream, UpstreamState} from './proxy/proxy_upstream.js';
export {EventSequencer} from './proxy/event_sequencer.js';
export {CompetingRequests} from './proxy/queue/competing_requests.js';
export {EarlyRefusal} from './proxy/queue/early_refusal.js';
export {expectedWaitMilliseconds} from './proxy/queue/expected_wait.js';
export {HoldTimeDistributions} from './proxy/queue/hold_time_distributions.js';
export {HoldBack} from './proxy/queue/hold_back.js';
export {Standing} from './proxy/queue/queue_position.js';
export {ServedShares} from './proxy/queue/served_shares.js';
export {ServiceOrder} from './proxy/queue/service_order.js';
export {SlotHoldTimes} from './proxy/queue/slot_hold_times.js';
export {SlotQueue} from './proxy/slot_queue.js';
export {OPEN_GATE} from './proxy/request_gate.js';
export {isRepeatable, QuotaUnit, RequestKind} from './proxy/route.js';
export {effectivePriority, HIGHEST_PRIORITY} from './proxy/routed_request.js';
export {pickTarget, RouteTable} from './proxy/route_table.js';
export {clusterShare} from './cluster_share.js';
export {MovingAverage} from './moving_average.js';
export {PoisonRequestDetector} from './poison_request_detector.js';
export {RetryBudget} from './retry_budget.js';
export {UpstreamDirectory} from './upstream_directory.js';
