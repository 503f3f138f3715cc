import type {ClusterView, Gossip, MemberTable} from '@arbutustide/membership';
import type {
  EnginePlanner,
  PlannerLease,
  PlannerLeadership,
} from '@arbutustide/placement';
import type {
  BrittleServices,
  DemandCounter,
  ProxyUpstreamDirectory,
  HoldTimeDistributions,
  ProxyDispatcher,
  SlotHoldTimes,
  SlotQueue,
  PoisonRequestDetector,
  PoisonSegmentDetector,
  ReachabilityMonitor,
  RequestGate,
  TokenIssuer,
  UpstreamSignalsHandler,
} from '@arbutustide/routing';
import type {
  Authenticator,
  ConfigurationFreshness,
  KeyTableCache,
} from '@arbutustide/teams';
import type {InjectionToken} from 'tsyringe';

import type {NodeStatusPublisher} from '../node_status_publisher.js';
import type {BrittleUpstreams} from './brittleness/brittle_upstreams.js';
import type {ConfigurationWatcher} from './configuration_watcher.js';
import type {ProxyDependencies} from './proxy_dependencies.js';
import type {RetryBorrower} from './retries/retry_borrower.js';
import type {ServiceRetryBudgets} from './retries/service_retry_budgets.js';
import type {LeaseHolderProbe} from './lease_holder_probe.js';
import type {HoldingRequester} from './holding_requester.js';
import type {HoldingServer} from './holdings/holding_server.js';
import type {WantedModels} from './holdings/wanted_models.js';
import type {ClusterRequestRelay} from './relay/cluster_request_relay.js';
import type {RelayServer} from './relay/relay_server.js';
import type {ClusterTeamQuotas} from './quotas/cluster_team_quotas.js';
import type {ReachableShare} from './rate_limit/reachable_share.js';
import type {TokenRequester} from './rate_limit/token_requester.js';
import type {ClusterStreamOrigins} from './stream_origin/cluster_stream_origins.js';
import type {ConfigurationConfirmer} from './teams/configuration_confirmer.js';
import type {ShutdownAdmission} from './shutdown_admission.js';
import type {UpstreamWatcher} from './upstream_watcher.js';
import type {RelayedObjectStore} from './watch_relay/relayed_object_store.js';

/** Dependency injection tokens of the components of a proxying node. */
export const ProxyToken = {
  DEPENDENCIES: 'fleet.dependencies' as InjectionToken<ProxyDependencies>,
  UPSTREAM_DIRECTORY:
    'fleet.directory' as InjectionToken<ProxyUpstreamDirectory>,
  RELAYED_STORE: 'fleet.relayedStore' as InjectionToken<RelayedObjectStore>,
  CONFIGURATION_WATCHER:
    'fleet.configuration' as InjectionToken<ConfigurationWatcher>,
  UPSTREAM_WATCHER: 'fleet.upstreams' as InjectionToken<UpstreamWatcher>,
  SIGNALS_HANDLER:
    'fleet.signalsHandler' as InjectionToken<UpstreamSignalsHandler>,
  DEMAND_COUNTER: 'fleet.counter' as InjectionToken<DemandCounter>,
  RETRY_BUDGETS: 'fleet.budgets' as InjectionToken<ServiceRetryBudgets>,
  RETRY_BORROWER: 'fleet.retryBorrower' as InjectionToken<RetryBorrower>,
  REQUEST_GATE: 'fleet.requestGate' as InjectionToken<RequestGate>,
  AUTHENTICATOR: 'fleet.authenticator' as InjectionToken<Authenticator>,
  CONFIGURATION_CONFIRMER:
    'fleet.configurationConfirmer' as InjectionToken<ConfigurationConfirmer>,
  CONFIGURATION_FRESHNESS:
    'fleet.configurationFreshness' as InjectionToken<ConfigurationFreshness>,
  KEY_TABLES: 'fleet.keyTables' as InjectionToken<KeyTableCache>,
  SLOT_HOLD_TIMES: 'fleet.slotHoldTimes' as InjectionToken<SlotHoldTimes>,
  HOLD_TIME_DISTRIBUTIONS:
    'fleet.holdTimeDistributions' as InjectionToken<HoldTimeDistributions>,
  SHUTDOWN_ADMISSION:
    'fleet.shutdownAdmission' as InjectionToken<ShutdownAdmission>,
  REQUEST_QUEUE: 'fleet.queue' as InjectionToken<SlotQueue>,
  DISPATCHER: 'fleet.dispatcher' as InjectionToken<ProxyDispatcher>,
  MEMBER_TABLE: 'fleet.memberTable' as InjectionToken<MemberTable>,
  CLUSTER_VIEW: 'fleet.clusterView' as InjectionToken<ClusterView>,
  GOSSIP: 'fleet.gossip' as InjectionToken<Gossip>,
  OWN_STATUS: 'fleet.ownStatus' as InjectionToken<NodeStatusPublisher>,
  POISON_REQUEST_DETECTOR:
    'fleet.suspects' as InjectionToken<PoisonRequestDetector>,
  POISON_SEGMENT_DETECTOR:
    'fleet.segments' as InjectionToken<PoisonSegmentDetector>,
  LEASE_HOLDER_PROBE: 'fleet.holderCheck' as InjectionToken<LeaseHolderProbe>,
  PLANNER_LEASE: 'fleet.lease' as InjectionToken<PlannerLease>,
  PLANNER_LEADERSHIP: 'fleet.tenure' as InjectionToken<PlannerLeadership>,
  PLANNER: 'fleet.planner' as InjectionToken<EnginePlanner>,
  BRITTLE_SERVICES: 'fleet.brittleServices' as InjectionToken<BrittleServices>,
  BRITTLE_UPSTREAMS:
    'fleet.brittleUpstreams' as InjectionToken<BrittleUpstreams>,
  REACHABILITY_MONITOR:
    'fleet.reachabilityMonitor' as InjectionToken<ReachabilityMonitor>,
  REQUEST_RELAY: 'fleet.requestRelay' as InjectionToken<ClusterRequestRelay>,
  RELAY_SERVER: 'fleet.relayServer' as InjectionToken<RelayServer>,
  REACHABLE_SHARE: 'fleet.reachableShare' as InjectionToken<ReachableShare>,
  TOKEN_ISSUER: 'fleet.tokenIssuer' as InjectionToken<TokenIssuer>,
  TOKEN_REQUESTER: 'fleet.tokenRequester' as InjectionToken<TokenRequester>,
  TEAM_QUOTAS: 'fleet.teamQuotas' as InjectionToken<ClusterTeamQuotas>,
  STREAM_ORIGINS: 'fleet.streamOrigins' as InjectionToken<ClusterStreamOrigins>,
  HOLDING_REQUESTER: 'fleet.requester' as InjectionToken<HoldingRequester>,
  HOLDING_SERVER: 'fleet.holding-server' as InjectionToken<HoldingServer>,
  WANTED_MODELS: 'fleet.wanted-models' as InjectionToken<WantedModels>,
} as const;
