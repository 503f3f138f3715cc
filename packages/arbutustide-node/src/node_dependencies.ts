import type {PeerTransport} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {UpstreamConnector} from '@arbutustide/routing';
import type {Settings} from '@arbutustide/settings';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {HostList} from '@arbutustide/upstream';
import type {InjectionToken} from 'tsyringe';

/** How this process is known to its peers. */
export interface NodeIdentity {
  /** Address and a start id drawn at start, so that no clock is needed. */
  readonly identity: string;
  /** Address of the peer service, as a URL. */
  readonly peerUrl: string;
}

/** Everything outside a node, each behind a narrow interface. */
export interface NodeDependencies {
  readonly settings: Settings;
  readonly identity: NodeIdentity;
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly connector: UpstreamConnector;
  readonly transport: PeerTransport;
  readonly logger: NodeLogger;
  readonly metrics: NodeMetrics;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Token under which the dependencies of a node are registered. */
export const NODE_DEPENDENCIES: InjectionToken<NodeDependencies> =
  Symbol('NodeDependencies');
