import 'reflect-metadata';

/** The daemon that runs on every host that serves callers. */
export type {EntryExplanation, ReplicaExplanation} from './explain_entry.js';
export type {
  ConfigurationSource,
  FleetDependencies,
  UpstreamSource,
} from './fleet/fleet_dependencies.js';
export type {
  FleetSettings,
  LoadSettings,
  RetrySettings,
} from './fleet/fleet_settings.js';
export type {NodePorts, RunningNode} from './node_daemon.js';
export type {NodeDependencies, NodeIdentity} from './node_dependencies.js';

export {CallerServer} from './caller_server.js';
export {FleetCore} from './fleet/fleet_core.js';
export {NodeCore} from './node_core.js';
export {startNode} from './node_daemon.js';
export {createNodeCore} from './create_node_core.js';
