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
  RequestSuspects,
} from '@arbutustide/routing';
import type {InjectionToken} from 'tsyringe';

import type {OwnStatus} from '../own_status.js';
import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {FleetDependencies} from './fleet_dependencies.js';
import type {FleetBudgets} from './fleet_budgets.js';
import type {HolderCheck} from './holder_check.js';
import type {HoldingRequester} from './holding_requester.js';
import type {UpstreamWatcher} from './upstream_watcher.js';

/** Tokens of the parts of a node that serves routes. */
export const FleetToken = {
  DEPENDENCIES: 'fleet.dependencies' as InjectionToken<FleetDependencies>,
  DIRECTORY: 'fleet.directory' as InjectionToken<FleetDirectory>,
  CONFIGURATION: 'fleet.configuration' as InjectionToken<ConfigurationWatcher>,
  UPSTREAMS: 'fleet.upstreams' as InjectionToken<UpstreamWatcher>,
  COUNTER: 'fleet.counter' as InjectionToken<DemandCounter>,
  BUDGETS: 'fleet.budgets' as InjectionToken<FleetBudgets>,
  QUEUE: 'fleet.queue' as InjectionToken<PlaceQueue>,
  DISPATCHER: 'fleet.dispatcher' as InjectionToken<FleetDispatcher>,
  MEMBER_TABLE: 'fleet.memberTable' as InjectionToken<MemberTable>,
  CLUSTER_VIEW: 'fleet.clusterView' as InjectionToken<ClusterView>,
  GOSSIP: 'fleet.gossip' as InjectionToken<Gossip>,
  OWN_STATUS: 'fleet.ownStatus' as InjectionToken<OwnStatus>,
  SUSPECTS: 'fleet.suspects' as InjectionToken<RequestSuspects>,
  HOLDER_CHECK: 'fleet.holderCheck' as InjectionToken<HolderCheck>,
  LEASE: 'fleet.lease' as InjectionToken<PlannerLease>,
  TENURE: 'fleet.tenure' as InjectionToken<PlannerTenure>,
  PLANNER: 'fleet.planner' as InjectionToken<FleetPlanner>,
  REQUESTER: 'fleet.requester' as InjectionToken<HoldingRequester>,
} as const;
