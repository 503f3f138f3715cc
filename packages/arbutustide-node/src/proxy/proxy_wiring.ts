import 'reflect-metadata';

import type {FieldValue} from '@arbutustide/membership';

import type {PeerIdentity} from './peer_identity.js';
import type {ProxyDependencies} from './proxy_dependencies.js';
import type {RegisterSingleton} from './register_singleton.js';
import type {DependencyContainer} from 'tsyringe';

import {
  ClusterView,
  Gossip,
  MemberTable,
  OwnRecord,
  ProtocolLevel,
} from '@arbutustide/membership';
import {
  EnginePlanner,
  PlannerLease,
  PlannerLeadership,
} from '@arbutustide/placement';
import {
  BrittleServices,
  DemandCounter,
  ProxyUpstreamDirectory,
  PoisonRequestDetector,
} from '@arbutustide/routing';
import {container as rootContainer, instanceCachingFactory} from 'tsyringe';

import {NodeStatusPublisher} from '../node_status_publisher.js';
import {brittleServiceFields} from './brittleness/brittle_service_fields.js';
import {BrittleUpstreams} from './brittleness/brittle_upstreams.js';
import {crashEvidenceFields} from './crash_evidence_fields.js';
import {createSlotQueue} from './create_slot_queue.js';
import {registerDispatcher} from './register_dispatcher.js';
import {registerShutdownAdmission} from './register_shutdown_admission.js';
import {createPoisonSegmentDetector} from './create_poison_segment_detector.js';
import {RetryBorrower} from './retries/retry_borrower.js';
import {ServiceRetryBudgets} from './retries/service_retry_budgets.js';
import {recordPlannerMetrics} from './decision_metrics.js';
import {NodeEnginePlannerEnvironment} from './node_engine_planner_environment.js';
import {ProxyToken} from './proxy_tokens.js';
import * as tuning from './proxy_tuning.js';
import {lostUpstreamsFields} from './relay/lost_upstreams.js';
import {registerRelay} from './relay/register_relay.js';
import {LeaseHolderProbe} from './lease_holder_probe.js';
import {HoldingsBroadcaster} from './holdings_broadcaster.js';
import {registerHoldings} from './holdings/register_holdings.js';
import {registerQuotas} from './quotas/register_quotas.js';
import {registerRateLimits} from './rate_limit/register_rate_limits.js';
import {registerStreamOrigins} from './stream_origin/register_stream_origins.js';
import {rateLimitFields} from './rate_limit/published_rate_limits.js';
import {registerTeams} from './teams/register_teams.js';
import {createUpstreamSignalsHandler} from './upstream_signals_handler.js';
import {UpstreamWatcher} from './upstream_watcher.js';
import {
  chooseDistantWatchRelays,
  chooseWatchRelays,
} from './watch_relay/choose_watch_relays.js';
import {RelayedObjectStore} from './watch_relay/relayed_object_store.js';

/** Region in the lease's key; a single planner serves all regions. */
const LEASE_REGION = 'all';

/**
 * Creates the dependency injection container of a proxying node. Each component
 * is a singleton that is created when it is first resolved.
 */
export function createProxyContainer(
  dependencies: ProxyDependencies,
  identity: PeerIdentity,
): DependencyContainer {
  const container = rootContainer.createChildContainer();
  const register: RegisterSingleton = (token, create) => {
    container.register(token, {useFactory: instanceCachingFactory(create)});
  };
  container.register(ProxyToken.DEPENDENCIES, {useValue: dependencies});
  registerWatchers(register, dependencies, identity);
  registerMembership(register, dependencies, identity);
  registerCrashDetectors(register, dependencies, identity);
  registerRateLimits(register, dependencies, identity);
  registerQuotas(register, dependencies, identity);
  registerStreamOrigins(register, dependencies, identity);
  registerTeams(register, dependencies, identity);
  registerRelay(register, dependencies, identity);
  registerRouting(register, dependencies, identity);
  registerLease(register, dependencies, identity);
  registerPlacement(register, dependencies);
  registerHoldings(register, dependencies);
  return container;
}

/** The object store, watched through a peer where that saves calls. */
function createRelayedStore(
  container: DependencyContainer,
  {settings, store, transport, logger, configuration}: ProxyDependencies,
  {identity}: PeerIdentity,
): RelayedObjectStore {
  const {changeBoundMilliseconds} = settings;
  const canRelay =
    changeBoundMilliseconds >= tuning.MINIMUM_BOUND_TO_RELAY_MILLISECONDS;
  const listUrls = (choose: typeof chooseWatchRelays) =>
    canRelay
      ? choose(
          container.resolve(ProxyToken.CLUSTER_VIEW).nodes(),
          identity,
          settings.failureDomain,
        ).map(({peerUrl}) => peerUrl)
      : [];
  return new RelayedObjectStore(
    store,
    transport,
    {
      listRelayUrls: () => listUrls(chooseWatchRelays),
      listDistantRelayUrls: () => listUrls(chooseDistantWatchRelays),
      startGraceMilliseconds: canRelay
        ? tuning.RELAY_START_GRACE_MILLISECONDS
        : 0,
      relayWaitMilliseconds: Math.round(
        changeBoundMilliseconds * tuning.RELAY_WAIT_SHARE,
      ),
      maximumAgeMilliseconds:
        changeBoundMilliseconds * tuning.RELAY_MAXIMUM_AGE_SHARE,
      redact: object =>
        object.key.startsWith(configuration.prefix)
          ? {...object, value: configuration.redact(object.value)}
          : object,
    },
    logger,
  );
}

function registerWatchers(
  register: RegisterSingleton,
  dependencies: ProxyDependencies,
  identity: PeerIdentity,
): void {
  register(ProxyToken.UPSTREAM_DIRECTORY, () => new ProxyUpstreamDirectory());
  register(ProxyToken.BRITTLE_SERVICES, () => new BrittleServices());
  register(
    ProxyToken.BRITTLE_UPSTREAMS,
    container =>
      new BrittleUpstreams({
        identity: identity.identity,
        listNodes: () => container.resolve(ProxyToken.CLUSTER_VIEW).nodes(),
        services: container.resolve(ProxyToken.BRITTLE_SERVICES),
        random: dependencies.random,
      }),
  );
  register(ProxyToken.DEMAND_COUNTER, () => new DemandCounter());
  register(ProxyToken.SIGNALS_HANDLER, container =>
    createUpstreamSignalsHandler(
      container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      container.resolve(ProxyToken.BRITTLE_SERVICES),
      upstream =>
        container.resolve(ProxyToken.TOKEN_REQUESTER).report(upstream),
      dependencies.logger,
    ),
  );
  register(ProxyToken.RELAYED_STORE, container =>
    createRelayedStore(container, dependencies, identity),
  );
  register(
    ProxyToken.UPSTREAM_WATCHER,
    container =>
      new UpstreamWatcher(
        {
          ...dependencies,
          store: container.resolve(ProxyToken.RELAYED_STORE),
        },
        container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      ),
  );
}

function registerMembership(
  register: RegisterSingleton,
  {settings, transport, random}: ProxyDependencies,
  {identity, peerUrl}: PeerIdentity,
): void {
  const expiryMilliseconds = tuning.GOSSIP_EXPIRY_MILLISECONDS;
  register(ProxyToken.MEMBER_TABLE, () => {
    const ownRecord = new OwnRecord(
      identity,
      tuning.TOMBSTONE_RETENTION_EXPIRIES * expiryMilliseconds,
    );
    return new MemberTable(ownRecord, expiryMilliseconds);
  });
  register(
    ProxyToken.CLUSTER_VIEW,
    container => new ClusterView(container.resolve(ProxyToken.MEMBER_TABLE)),
  );
  register(
    ProxyToken.GOSSIP,
    container =>
      new Gossip(container.resolve(ProxyToken.MEMBER_TABLE), transport, {
        ownUrl: peerUrl,
        ownFailureDomain: settings.failureDomain,
        intervalMilliseconds: tuning.GOSSIP_INTERVAL_MILLISECONDS,
        heartbeatMilliseconds: tuning.GOSSIP_HEARTBEAT_MILLISECONDS,
        maximumPeers: tuning.GOSSIP_MAXIMUM_PEERS,
        random,
      }),
  );
  register(ProxyToken.OWN_STATUS, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    const leadership = container.resolve(ProxyToken.PLANNER_LEADERSHIP);
    const {nodeName: name, region, failureDomain} = settings;
    return new NodeStatusPublisher(
      container.resolve(ProxyToken.MEMBER_TABLE),
      {name, peerUrl, region, failureDomain},
      container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      container.resolve(ProxyToken.DEMAND_COUNTER),
      container.resolve(ProxyToken.POISON_REQUEST_DETECTOR),
      () =>
        container.resolve(ProxyToken.CONFIGURATION_WATCHER).routes
          ?.configuration.version ?? 0,
      () => (leadership.checkLeadership() ? leadership.epoch : 0),
      () => listSharedFields(container),
      () => clusterView.haveAllLevel(ProtocolLevel.RETRY_LOANS),
    );
  });
}

/** Fields of the own record that components of this node contribute. */
function* listSharedFields(
  container: DependencyContainer,
): Generator<readonly [string, FieldValue]> {
  yield* crashEvidenceFields(
    container.resolve(ProxyToken.POISON_SEGMENT_DETECTOR),
  );
  yield* rateLimitFields(container.resolve(ProxyToken.TOKEN_ISSUER));
  yield* brittleServiceFields(container.resolve(ProxyToken.BRITTLE_SERVICES));
  yield* lostUpstreamsFields(
    container.resolve(ProxyToken.REACHABILITY_MONITOR),
    container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
  );
}

function registerCrashDetectors(
  register: RegisterSingleton,
  {logger}: ProxyDependencies,
  {identity}: PeerIdentity,
): void {
  register(ProxyToken.POISON_REQUEST_DETECTOR, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new PoisonRequestDetector(
      tuning.SUSPICION_RETENTION_MILLISECONDS,
      {
        crashes: fingerprint => clusterView.peerCrashCount(fingerprint),
        runsOtherSuspects: () => false,
      },
      tuning.POISON_CRASH_THRESHOLD,
    );
  });
  register(ProxyToken.POISON_SEGMENT_DETECTOR, container =>
    createPoisonSegmentDetector(container, logger, identity),
  );
}

function registerRouting(
  register: RegisterSingleton,
  dependencies: ProxyDependencies,
  {identity}: PeerIdentity,
): void {
  const {settings, transport, random, logger} = dependencies;
  register(ProxyToken.RETRY_BUDGETS, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new ServiceRetryBudgets(
      settings.retry,
      () => clusterView.nodes().length,
      tuning.INITIAL_NODE_COUNT,
    );
  });
  register(ProxyToken.RETRY_BORROWER, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new RetryBorrower({
      identity,
      nodes: () => clusterView.nodes(),
      budgets: container.resolve(ProxyToken.RETRY_BUDGETS),
      transport,
      answerPeriod: container.resolve(ProxyToken.SHUTDOWN_ADMISSION),
      random,
      logger,
    });
  });
  registerShutdownAdmission(register, dependencies);
  register(ProxyToken.REQUEST_QUEUE, container =>
    createSlotQueue(container, dependencies),
  );
  registerDispatcher(register, dependencies);
}

function registerLease(
  register: RegisterSingleton,
  {settings, store, transport}: ProxyDependencies,
  {identity}: PeerIdentity,
): void {
  register(
    ProxyToken.LEASE_HOLDER_PROBE,
    container =>
      new LeaseHolderProbe(
        container.resolve(ProxyToken.MEMBER_TABLE),
        transport,
      ),
  );
  register(ProxyToken.PLANNER_LEASE, container => {
    const holderProbe = container.resolve(ProxyToken.LEASE_HOLDER_PROBE);
    return new PlannerLease(
      store,
      LEASE_REGION,
      identity,
      settings.leaseMilliseconds,
      holder => holderProbe.hasEnded(holder),
    );
  });
  register(ProxyToken.PLANNER_LEADERSHIP, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new PlannerLeadership(
      container.resolve(ProxyToken.PLANNER_LEASE),
      {
        liveNodeCount: () => clusterView.nodes().length,
        otherPlannerEpoch: () => clusterView.highestPeerPlannerEpoch(),
        hasSteppedDown: holder => clusterView.hasSteppedDown(holder),
      },
      settings,
    );
  });
}

function registerPlacement(
  register: RegisterSingleton,
  {settings, engineClient: orders, logger, metrics}: ProxyDependencies,
): void {
  register(ProxyToken.PLANNER, container => {
    const broadcaster = new HoldingsBroadcaster(() =>
      container
        .resolve(ProxyToken.GOSSIP)
        .broadcast(tuning.HOLDINGS_BROADCAST_PEERS),
    );
    const environment = new NodeEnginePlannerEnvironment(
      container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
      container.resolve(ProxyToken.DEMAND_COUNTER),
      container.resolve(ProxyToken.MEMBER_TABLE),
      container.resolve(ProxyToken.CLUSTER_VIEW),
      container.resolve(ProxyToken.WANTED_MODELS),
      () =>
        container.resolve(ProxyToken.CONFIGURATION_WATCHER).routes
          ?.configuration,
      () => broadcaster.request(),
      decision => {
        logger.info(decision, 'planner');
        recordPlannerMetrics(decision, metrics);
      },
    );
    return new EnginePlanner(
      container.resolve(ProxyToken.PLANNER_LEASE),
      container.resolve(ProxyToken.PLANNER_LEADERSHIP),
      orders,
      environment,
      {
        ...tuning.PLANNER_TUNING,
        holder: settings.nodeName,
        suspensionMilliseconds: settings.suspensionToleranceMilliseconds,
      },
    );
  });
}
