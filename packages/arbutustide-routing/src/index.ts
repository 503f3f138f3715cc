/** From a checked request to its whole answer: choice, limits and retries. */
export type {AdmissionOptions, EntryLoad, PeerDemand} from './admission.js';
export type {AdmissionRequest, GateLimits, Permit} from './admission_gate.js';
export type {
  AnswerPieces,
  CallerAnswer,
  CallerRequest,
} from './caller_request.js';
export type {ChoiceContext} from './choose_replica.js';
export type {ChoiceSettings, DispatcherOptions} from './dispatcher.js';
export type {FleetDemand} from './fleet_share.js';
export type {PeerSuspicions, Suspicion} from './request_suspects.js';
export type {Upstream, UpstreamObservation} from './upstream.js';
export type {UpstreamConnector} from './upstream_connector.js';
export type {Replica} from './upstream_directory.js';

export {Admission} from './admission.js';
export {AdmissionGate} from './admission_gate.js';
export {AttemptRunner} from './attempt_runner.js';
export {AnswerEnd} from './caller_request.js';
export {chooseReplicas, predictedMilliseconds} from './choose_replica.js';
export {Dispatcher} from './dispatcher.js';
export {EventSplitter} from './event_splitter.js';
export {fleetShare} from './fleet_share.js';
export {MovingAverage} from './moving_average.js';
export {RequestSuspects} from './request_suspects.js';
export {RetryBudget} from './retry_budget.js';
export {UpstreamDirectory} from './upstream_directory.js';
