import type {PeerTransport} from '@arbutustide/membership';
import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {EngineClient} from '@arbutustide/placement';
import type {
  MemoryMover,
  ProxyConnector,
  ServingConfiguration,
  UpstreamDescription,
} from '@arbutustide/routing';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {ProxySettings} from './proxy_settings.js';
import type {StreamOriginStorage} from './stream_origin/stream_origin_storage.js';

/** Location of the configuration in the object store, and its decoder. */
export interface ConfigurationSource {
  readonly prefix: string;
  readonly decode: (value: unknown) => Result<ServingConfiguration, Error>;
  /**
   * Removes from a stored configuration what must not pass between nodes. The
   * result decodes to an equivalent configuration.
   */
  readonly redact: (value: unknown) => unknown;
}

/** Location of upstream entries in the object store, and their decoder. */
export interface UpstreamSource {
  readonly prefix: string;
  readonly decode: (object: StoredObject) => Result<UpstreamDescription, Error>;
  /** Reads the id of an upstream from the key of its entry. */
  readonly parseId: (key: string) => string;
}

/** External dependencies of a proxying node. */
export interface ProxyDependencies {
  readonly settings: ProxySettings;
  readonly logger: NodeLogger;
  readonly metrics: NodeMetrics;
  readonly store: ObjectStore;
  readonly connector: ProxyConnector;
  readonly engineClient: EngineClient & MemoryMover;
  readonly transport: PeerTransport;
  readonly configuration: ConfigurationSource;
  readonly upstreams: UpstreamSource;
  readonly streamOrigins: StreamOriginStorage;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
}
