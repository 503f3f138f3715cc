/** Stand-ins for the platform: models of its parts and their programs. */
export type {
  EngineOptions,
  RecordedOrder,
  RecordedOvercommit,
  RecordedRun,
  WeightFetcher,
} from './engine_model.js';
export type {FaultRule} from './fault_plan.js';
export type {GenerationRequest} from './generation.js';
export type {RecordedWrite} from './object_table.js';
export type {
  RecordedCall,
  ServiceAnswer,
  ServiceCall,
} from './service_model.js';
export type {WeightLimits} from './weight_limiter.js';

export {
  CRASH_MARKER,
  DEFAULT_ENGINE_OPTIONS,
  EngineModel,
} from './engine_model.js';
export {createEngineServer} from './engine_server.js';
export {FaultKind, FaultPlan} from './fault_plan.js';
export {expectedText, Generation, GenerationEnd} from './generation.js';
export {createHostListServer} from './host_list_server.js';
export {HostTable} from './host_table.js';
export {createObjectApiServer} from './object_api_server.js';
export {ObjectTable} from './object_table.js';
export {ServiceModel} from './service_model.js';
export {createServiceServer} from './service_server.js';
export {StandInServer} from './stand_in_server.js';
export {WeightLimiter} from './weight_limiter.js';
export {
  createWeightStoreServer,
  httpWeightFetcher,
} from './weight_store_server.js';
