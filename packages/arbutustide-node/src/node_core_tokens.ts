import type {CatalogueHolder, CatalogueSync} from '@arbutustide/catalogue';
import type {ClaimStore} from '@arbutustide/claims';
import type {ClusterView, Gossip, MemberTable} from '@arbutustide/membership';
import type {Planner, PlannerLease} from '@arbutustide/placement';
import type {
  AdmissionController,
  Dispatcher,
  PoisonRequestDetector,
  UpstreamDirectory,
} from '@arbutustide/routing';
import type {InjectionToken} from 'tsyringe';

import type {HostWatcher} from './host_watcher.js';
import type {NodeStatusPublisher} from './node_status_publisher.js';
import type {ReportPoller} from './report_poller.js';

/**
 * Injection tokens of a node's components; `create_node_core.ts` registers the
 * factory of each.
 */
export const ADMISSION_CONTROLLER: InjectionToken<AdmissionController> = Symbol(
  'AdmissionController',
);
export const CATALOGUE_HOLDER: InjectionToken<CatalogueHolder> =
  Symbol('CatalogueHolder');
export const CATALOGUE_SYNC: InjectionToken<CatalogueSync> =
  Symbol('CatalogueSync');
export const CLAIM_STORE: InjectionToken<ClaimStore> = Symbol('ClaimStore');
export const CLUSTER_VIEW: InjectionToken<ClusterView> = Symbol('ClusterView');
export const DISPATCHER: InjectionToken<Dispatcher> = Symbol('Dispatcher');
export const GOSSIP: InjectionToken<Gossip> = Symbol('Gossip');
export const HOST_WATCHER: InjectionToken<HostWatcher> = Symbol('HostWatcher');
export const MEMBER_TABLE: InjectionToken<MemberTable> = Symbol('MemberTable');
export const NODE_STATUS_PUBLISHER: InjectionToken<NodeStatusPublisher> =
  Symbol('NodeStatusPublisher');
export const PLANNER: InjectionToken<Planner> = Symbol('Planner');
export const PLANNER_LEASE: InjectionToken<PlannerLease> =
  Symbol('PlannerLease');
export const REPORT_POLLER: InjectionToken<ReportPoller> =
  Symbol('ReportPoller');
export const POISON_REQUEST_DETECTOR: InjectionToken<PoisonRequestDetector> =
  Symbol('PoisonRequestDetector');
export const UPSTREAM_DIRECTORY: InjectionToken<UpstreamDirectory> =
  Symbol('UpstreamDirectory');
