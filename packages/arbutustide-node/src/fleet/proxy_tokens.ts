import type {ClusterView, Gossip, MemberTable} from '@arbutustide/membership';
import type {
  FleetPlanner,
  PlannerLease,
  PlannerTenure,
} from '@arbutustide/placement';
import type {
  DemandCounter,
  FleetDirectory,
  FleetDispatcher,
  PlaceQueue,
  PoisonRequestDetector,
} from '@arbutustide/routing';
import type {InjectionToken} from 'tsyringe';

import type {OwnStatus} from '../own_status.js';
import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {FleetDependencies} from './fleet_dependencies.js';
import type {ServiceRetryBudgets} from './service_retry_budgets.js';
import type {LeaseHolderProbe} from './lease_holder_probe.js';
import type {HoldingRequester} from './holding_requester.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

/** Dependency injection tokens of the components of a proxying node. */
export const ProxyToken = {
  DEPENDENCIES: 'fleet.dependencies' as InjectionToken<FleetDependencies>,
  UPSTREAM_DIRECTORY: 'fleet.directory' as InjectionToken<FleetDirectory>,
  CONFIGURATION_WATCHER:
    'fleet.configuration' as InjectionToken<ConfigurationWatcher>,
  UPSTREAM_WATCHER: 'fleet.upstreams' as InjectionToken<UpstreamWatcher>,
  DEMAND_COUNTER: 'fleet.counter' as InjectionToken<DemandCounter>,
  RETRY_BUDGETS: 'fleet.budgets' as InjectionToken<ServiceRetryBudgets>,
  REQUEST_QUEUE: 'fleet.queue' as InjectionToken<PlaceQueue>,
  DISPATCHER: 'fleet.dispatcher' as InjectionToken<FleetDispatcher>,
  MEMBER_TABLE: 'fleet.memberTable' as InjectionToken<MemberTable>,
  CLUSTER_VIEW: 'fleet.clusterView' as InjectionToken<ClusterView>,
  GOSSIP: 'fleet.gossip' as InjectionToken<Gossip>,
  OWN_STATUS: 'fleet.ownStatus' as InjectionToken<OwnStatus>,
  POISON_REQUEST_DETECTOR:
    'fleet.suspects' as InjectionToken<PoisonRequestDetector>,
  LEASE_HOLDER_PROBE: 'fleet.holderCheck' as InjectionToken<LeaseHolderProbe>,
  PLANNER_LEASE: 'fleet.lease' as InjectionToken<PlannerLease>,
  PLANNER_LEADERSHIP: 'fleet.tenure' as InjectionToken<PlannerTenure>,
  PLANNER: 'fleet.planner' as InjectionToken<FleetPlanner>,
  HOLDING_REQUESTER: 'fleet.requester' as InjectionToken<HoldingRequester>,
} as const;
