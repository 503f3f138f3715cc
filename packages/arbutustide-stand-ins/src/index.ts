/**
 * Stand-ins (test doubles) for the parts of the platform: in-memory
 * implementations and the HTTP servers that expose them.
 */
export type {
  StandInEngineOptions,
  RecordedOrder,
  RecordedOvercommit,
  RecordedRun,
  WeightFetcher,
} from './stand_in_engine.js';
export type {
  AnswerContent,
  BreakableClient,
  ReceivedAnswer,
} from './answer_breaker.js';
export type {CrowdOptions} from './crowd.js';
export type {
  CrowdMeeting,
  CrowdReport,
  CrowdResources,
  OrdinaryRequest,
} from './meet_crowd.js';
export type {FaultRule} from './fault_injector.js';
export type {GenerationRequest} from './generation.js';
export type {RecordedWrite} from './object_table.js';
export type {
  RecordedCall,
  ServiceAnswer,
  ServiceCall,
} from './stand_in_service.js';
export type {WeightStoreLimits} from './stand_in_weight_store.js';

export {
  CRASH_PROMPT_MARKER,
  DEFAULT_ENGINE_OPTIONS,
  StandInEngine,
} from './stand_in_engine.js';
export {findAnswersTakenForWhole} from './answer_breaker.js';
export {Crowd} from './crowd.js';
export {askUntilOk, findCrowdFaults, meetCrowd} from './meet_crowd.js';
export {MeasuredProcess} from './measured_process.js';
export {createEngineServer} from './engine_server.js';
export {FaultKind, FaultInjector} from './fault_injector.js';
export {
  expectedCompletionText,
  Generation,
  GenerationState,
} from './generation.js';
export {createHostListServer} from './host_list_server.js';
export {LaggedHostList} from './lagged_host_list.js';
export {createObjectApiServer} from './object_api_server.js';
export {ObjectTable} from './object_table.js';
export {StandInService} from './stand_in_service.js';
export {createServiceServer} from './service_server.js';
export {StandInServer} from './stand_in_server.js';
export {StandInWeightStore} from './stand_in_weight_store.js';
export {
  createWeightStoreServer,
  createHttpWeightFetcher,
} from './weight_store_server.js';
