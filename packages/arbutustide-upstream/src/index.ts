/** Interfaces to engines, plain services and the host list; HTTP clients. */
export type {
  AnswerBody,
  AttemptRequest,
  AttemptResult,
  UpstreamAnswer,
} from './attempt.js';
export type {
  CacheEvent,
  Engine,
  EngineOrder,
  EngineReport,
  OrderAnswer,
  ResidentItem,
} from './engine.js';
export type {SendConditions} from './send_check.js';
export type {ConnectionHolder} from './upstream_connection.js';
export type {UpstreamConnectionOptions} from './upstream_connection_pool.js';
export type {PlainService, ServiceReport} from './plain_service.js';
export type {HostList, PlatformHost} from './platform_host.js';

export {discardIfInvalid} from './answer_status.js';
export {AttemptError, AttemptFailure} from './attempt_error.js';
export {AttemptState, OrderKind, OrderOutcome} from './engine.js';
export {
  ATTEMPT_ID_HEADER,
  UPSTREAM_LEAVING_HEADER,
  toAttemptError,
} from './upstream_connection_pool.js';
export {
  createConnectionHolder,
  isSelfDelimiting,
  UpstreamConnection,
} from './upstream_connection.js';
export {SendCheck} from './send_check.js';
export {HttpEngine} from './http_engine.js';
export {HttpHostList} from './http_host_list.js';
export {HttpPlainService} from './http_plain_service.js';
export {HostKind, HostState} from './platform_host.js';
