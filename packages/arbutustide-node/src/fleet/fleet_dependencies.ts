import type {PeerTransport} from '@arbutustide/membership';
import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {EngineOrders} from '@arbutustide/placement';
import type {
  FleetConnector,
  ServingConfiguration,
  UpstreamDescription,
} from '@arbutustide/routing';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {FleetSettings} from './fleet_settings.js';

/** Where the configuration lies in the store, and how it is read. */
export interface ConfigurationSource {
  readonly prefix: string;
  readonly decode: (value: unknown) => Result<ServingConfiguration, Error>;
}

/** Where upstreams register themselves, and how an entry is read. */
export interface UpstreamSource {
  readonly prefix: string;
  readonly decode: (object: StoredObject) => Result<UpstreamDescription, Error>;
  readonly idOf: (key: string) => string;
}

/** Everything around a node that serves routes. */
export interface FleetDependencies {
  readonly settings: FleetSettings;
  readonly logger: NodeLogger;
  readonly metrics: NodeMetrics;
  readonly store: ObjectStore;
  readonly connector: FleetConnector;
  readonly orders: EngineOrders;
  readonly transport: PeerTransport;
  readonly configuration: ConfigurationSource;
  readonly upstreams: UpstreamSource;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}
