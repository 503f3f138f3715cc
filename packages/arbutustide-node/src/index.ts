import 'reflect-metadata';

/** The daemon that runs on every host that serves callers. */
export type {EntryExplanation, ReplicaExplanation} from './explain_entry.js';
export type {ConfigurationLogFields} from './proxy/configuration_log_fields.js';
export type {
  ConfigurationSource,
  ProxyDependencies,
  UpstreamSource,
} from './proxy/proxy_dependencies.js';
export type {
  ProxySettings,
  RevocationSettings,
  StoreLoadSettings,
  RetryBudgetSettings,
  ShutdownTimes,
} from './proxy/proxy_settings.js';
export type {
  ArchivedOrigins,
  ServiceVersions,
  StreamOriginStorage,
} from './proxy/stream_origin/stream_origin_storage.js';
export type {
  AdmittedArrival,
  Arrival,
} from './proxy/overload/arrival_admission.js';
export type {NodePorts, RunningNode} from './node_daemon.js';
export type {NodeDependencies, NodeIdentity} from './node_dependencies.js';

export type {
  ConnectionBoundsOptions,
  ServerBounds,
} from './bounds/connection_bounds.js';
export type {BodyLimits} from './bounds/arriving_body.js';
export type {ProcessBounds, ProcessResources} from './bounds/process_bounds.js';

export type {BoundedCallers, CallerBounds} from './bounds/bound_callers.js';

export {boundCallers} from './bounds/bound_callers.js';
export {BodyTimeout} from './bounds/arriving_body.js';
export {BodyMemory} from './bounds/body_memory.js';
export {BodyReader} from './bounds/body_reader.js';
export {BoundName, BoundRecorder, ServerName} from './bounds/bound_recorder.js';
export {ConnectionBounds} from './bounds/connection_bounds.js';
export {shareWhilePending} from './bounds/share_while_pending.js';
export {
  boundCallerServer,
  boundStatusServer,
  createProcessBounds,
  DEFAULT_RESOURCES,
} from './bounds/process_bounds.js';
export {createConnectionErrorLog} from './connection_error_log.js';
export {CallerConnections} from './caller_connections.js';
export {drainCallers} from './drain_callers.js';
export {CallerServer} from './caller_server.js';
export {ProxyCore} from './proxy/proxy_core.js';
export {watchDisconnection} from './watch_disconnection.js';
export {ArrivalAdmission} from './proxy/overload/arrival_admission.js';
export {OverloadRecorder} from './proxy/overload/overload_recorder.js';
export {recordLongTurns} from './proxy/record_long_turns.js';
export {NodeCore} from './node_core.js';
export {startNode} from './node_daemon.js';
export {createNodeCore} from './create_node_core.js';
