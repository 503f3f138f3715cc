import type {PeerTransport} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {UpstreamConnector} from '@arbutustide/routing';
import type {Settings} from '@arbutustide/settings';
import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';
import type {HostList} from '@arbutustide/upstream';
import type {InjectionToken} from 'tsyringe';

/** Identity and address of this process as its peers know them. */
export interface NodeIdentity {
  /**
   * Address and a random instance ID, unique to each process start. The ID is
   * random rather than a start time, so that it does not depend on a clock.
   */
  readonly identity: string;
  /** URL of this node's peer service. */
  readonly peerUrl: string;
}

/** The external systems of a node, each behind an interface. */
export interface NodeDependencies {
  readonly settings: Settings;
  readonly identity: NodeIdentity;
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly connector: UpstreamConnector;
  readonly transport: PeerTransport;
  readonly logger: NodeLogger;
  readonly metrics: NodeMetrics;
  /** Returns a uniformly distributed random number in [0, 1). */
  readonly random: () => number;
}

/** Injection token of a node's dependencies. */
export const NODE_DEPENDENCIES: InjectionToken<NodeDependencies> =
  Symbol('NodeDependencies');
