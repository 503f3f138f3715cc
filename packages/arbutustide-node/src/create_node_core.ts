import type {CatalogueEntry} from '@arbutustide/catalogue';
import type {DependencyContainer, InjectionToken} from 'tsyringe';

import type {NodeDependencies} from './node_dependencies.js';

import {
  CatalogueHolder,
  CatalogueSync,
  EntryKind,
} from '@arbutustide/catalogue';
import {ClaimStore} from '@arbutustide/claims';
import {
  ClusterView,
  Gossip,
  MemberTable,
  OwnRecord,
  ProtocolLevel,
} from '@arbutustide/membership';
import {Planner, PlannerLease} from '@arbutustide/placement';
import {
  AdmissionController,
  AttemptRunner,
  Dispatcher,
  PoisonRequestDetector,
  RetryBudget,
  UpstreamDirectory,
} from '@arbutustide/routing';
import {HostKind} from '@arbutustide/upstream';
import {container as rootContainer, instanceCachingFactory} from 'tsyringe';

import {ClusterCataloguePeers} from './cluster_catalogue_peers.js';
import {HostWatcher} from './host_watcher.js';
import {NodeCore} from './node_core.js';
import {NODE_DEPENDENCIES} from './node_dependencies.js';
import {NodeStatusPublisher} from './node_status_publisher.js';
import {NodePlannerEnvironment} from './node_planner_environment.js';
import {ReportPoller} from './report_poller.js';
import {
  ADMISSION_CONTROLLER,
  CATALOGUE_HOLDER,
  CATALOGUE_SYNC,
  CLAIM_STORE,
  CLUSTER_VIEW,
  DISPATCHER,
  GOSSIP,
  HOST_WATCHER,
  MEMBER_TABLE,
  NODE_STATUS_PUBLISHER,
  PLANNER,
  PLANNER_LEASE,
  REPORT_POLLER,
  POISON_REQUEST_DETECTOR,
  UPSTREAM_DIRECTORY,
} from './node_core_tokens.js';

/** Interval at which the catalogue revisions of peers are checked. */
const CATALOGUE_POLL_INTERVAL_MILLISECONDS = 250;
/**
 * Longest time between two reads of the catalogue from the object store by a
 * node that does not watch the store.
 */
const STORE_POLL_INTERVAL_MILLISECONDS = 60_000;
/** Tombstones of removed record fields live for this many expiry times. */
const TOMBSTONE_EXPIRIES = 2;

/** Registers a factory; its result is cached as a singleton of the node. */
type RegisterFactory = <T>(
  token: InjectionToken<T>,
  create: (container: DependencyContainer) => T,
) => void;

/** Creates the components of a node in a dependency injection container. */
export function createNodeCore(dependencies: NodeDependencies): NodeCore {
  const container = rootContainer.createChildContainer();
  const register: RegisterFactory = (token, create) => {
    container.register(token, {useFactory: instanceCachingFactory(create)});
  };
  container.register(NODE_DEPENDENCIES, {useValue: dependencies});
  container.register('container', {useValue: container});
  registerMembership(register, dependencies);
  registerCatalogue(register, dependencies);
  registerRouting(register, dependencies);
  registerPlacement(register, dependencies);
  return container.resolve(NodeCore);
}

function createStatusPublisher(
  container: DependencyContainer,
): NodeStatusPublisher {
  const {settings, identity} = container.resolve(NODE_DEPENDENCIES);
  const {name, region, failureDomain} = settings.node;
  const clusterView = container.resolve(CLUSTER_VIEW);
  return new NodeStatusPublisher(
    container.resolve(MEMBER_TABLE),
    {name, peerUrl: identity.peerUrl, region, failureDomain},
    container.resolve(UPSTREAM_DIRECTORY),
    container.resolve(ADMISSION_CONTROLLER),
    container.resolve(POISON_REQUEST_DETECTOR),
    () => container.resolve(CATALOGUE_HOLDER).revision,
    () => 0,
    () => [],
    () => clusterView.haveAllLevel(ProtocolLevel.RETRY_LOANS),
  );
}

function registerMembership(
  register: RegisterFactory,
  {settings, identity, transport, random}: NodeDependencies,
): void {
  const {node, gossip, routing} = settings;
  register(MEMBER_TABLE, () => {
    const lifetimeMilliseconds = TOMBSTONE_EXPIRIES * gossip.expiryMilliseconds;
    const ownRecord = new OwnRecord(identity.identity, lifetimeMilliseconds);
    return new MemberTable(ownRecord, gossip.expiryMilliseconds);
  });
  register(
    CLUSTER_VIEW,
    container => new ClusterView(container.resolve(MEMBER_TABLE)),
  );
  register(
    GOSSIP,
    container =>
      new Gossip(container.resolve(MEMBER_TABLE), transport, {
        ownUrl: identity.peerUrl,
        ownFailureDomain: node.failureDomain,
        intervalMilliseconds: gossip.intervalMilliseconds,
        heartbeatMilliseconds: gossip.heartbeatMilliseconds,
        maximumPeers: gossip.maximumPeers,
        random,
      }),
  );
  register(NODE_STATUS_PUBLISHER, createStatusPublisher);
  register(
    REPORT_POLLER,
    container =>
      new ReportPoller(
        container.resolve(UPSTREAM_DIRECTORY),
        container.resolve(NODE_DEPENDENCIES).connector,
        container.resolve(MEMBER_TABLE),
        container.resolve(CLUSTER_VIEW),
        {
          ownIdentity: identity.identity,
          intervalMilliseconds: routing.reportIntervalMilliseconds,
          republishAfterMilliseconds: routing.observationRefreshMilliseconds,
          pollersPerUpstream: routing.pollersPerUpstream,
        },
      ),
  );
}

function registerCatalogue(
  register: RegisterFactory,
  dependencies: NodeDependencies,
): void {
  const {settings, identity, store, transport, logger} = dependencies;
  register(CATALOGUE_HOLDER, () => new CatalogueHolder());
  register(CATALOGUE_SYNC, container => {
    const cataloguePeers = new ClusterCataloguePeers(
      container.resolve(CLUSTER_VIEW),
      transport,
      {
        ownIdentity: identity.identity,
        ownPeerUrl: identity.peerUrl,
        ownFailureDomain: settings.node.failureDomain,
        watchersPerFailureDomain: settings.gossip.watchersPerFailureDomain,
        listedPeerUrls: () =>
          container
            .resolve(HOST_WATCHER)
            .hostsOfKind(HostKind.ENTRY_NODE)
            .map(({url}) => url),
      },
    );
    const catalogueHolder = container.resolve(CATALOGUE_HOLDER);
    return new CatalogueSync(store, catalogueHolder, cataloguePeers, {
      pollIntervalMilliseconds: CATALOGUE_POLL_INTERVAL_MILLISECONDS,
      storePollIntervalMilliseconds: STORE_POLL_INTERVAL_MILLISECONDS,
      onError: reason => logger.warn({reason}, 'catalogue'),
    });
  });
}

function registerRouting(
  register: RegisterFactory,
  dependencies: NodeDependencies,
): void {
  const {settings, identity, store, connector, hostList, logger} = dependencies;
  const {routing} = settings;
  register(UPSTREAM_DIRECTORY, () => new UpstreamDirectory());
  register(
    HOST_WATCHER,
    container =>
      new HostWatcher(
        hostList,
        container.resolve(UPSTREAM_DIRECTORY),
        container.resolve(GOSSIP),
        logger,
        settings.platform.hostListIntervalMilliseconds,
      ),
  );
  register(POISON_REQUEST_DETECTOR, container => {
    const clusterView = container.resolve(CLUSTER_VIEW);
    return new PoisonRequestDetector(routing.quarantineMilliseconds, {
      crashes: fingerprint => clusterView.peerCrashCount(fingerprint),
      runsOtherSuspects: fingerprint =>
        clusterView.peersRunOtherSuspects(fingerprint),
    });
  });
  register(ADMISSION_CONTROLLER, container =>
    createAdmissionController(container, dependencies),
  );
  register(CLAIM_STORE, container => {
    const clusterView = container.resolve(CLUSTER_VIEW);
    return new ClaimStore(store, {
      claimant: identity.identity,
      answerLimitBytes: settings.claims.answerLimitBytes,
      isAlive: nodeIdentity => clusterView.isAlive(nodeIdentity),
    });
  });
  register(DISPATCHER, container => {
    const upstreamDirectory = container.resolve(UPSTREAM_DIRECTORY);
    return new Dispatcher(
      upstreamDirectory,
      container.resolve(ADMISSION_CONTROLLER),
      new AttemptRunner(upstreamDirectory, connector),
      container.resolve(POISON_REQUEST_DETECTOR),
      container.resolve(CLAIM_STORE),
      createDispatcherOptions(container, dependencies),
    );
  });
}

function createAdmissionController(
  container: DependencyContainer,
  {settings}: NodeDependencies,
): AdmissionController {
  const {routing} = settings;
  const clusterView = container.resolve(CLUSTER_VIEW);
  const upstreamDirectory = container.resolve(UPSTREAM_DIRECTORY);
  const catalogueHolder = container.resolve(CATALOGUE_HOLDER);
  const countPeerRequests = (entryName: string) => {
    const {inFlight, queued} = clusterView.peerDemand(entryName);
    return inFlight + queued;
  };
  return new AdmissionController({
    upstreamConcurrency: routing.upstreamConcurrency,
    adapterConcurrency: routing.adapterConcurrency,
    initialServiceMilliseconds: routing.initialServiceMilliseconds,
    replicaCount: (entry: CatalogueEntry) => {
      const item = catalogueHolder.current?.itemName(entry) ?? '';
      return upstreamDirectory.readyReplicas(entry, item).length;
    },
    peerDemand: {
      requestsToEntry: countPeerRequests,
      requestsToAdapters: () =>
        (
          catalogueHolder.current?.entriesOfKind(EntryKind.ADAPTER) ?? []
        ).reduce((sum, {name}) => sum + countPeerRequests(name), 0),
      servingNodeCount: () => clusterView.readyNodeCount(),
    },
  });
}

function createDispatcherOptions(
  container: DependencyContainer,
  {settings, metrics, random}: NodeDependencies,
) {
  const {routing, node} = settings;
  const clusterView = container.resolve(CLUSTER_VIEW);
  const budgets = new Map<string, RetryBudget>();
  const getRetryBudget = (className: string) => {
    const existing = budgets.get(className);
    if (existing) return existing;
    const budget = new RetryBudget(routing.retryShare);
    budgets.set(className, budget);
    return budget;
  };
  return {
    choice: {
      ownFailureDomain: node.failureDomain,
      peerLoad: (upstreamId: string) =>
        clusterView.peerRequestsInFlight(upstreamId),
      upstreamConcurrency: routing.upstreamConcurrency,
      crossDomainMilliseconds: routing.crossDomainMilliseconds,
      prefixMilliseconds: routing.prefixMilliseconds,
      sampleSize: routing.sampleSize,
      random,
    },
    maximumAttempts: routing.maximumAttempts,
    retryBackoffMilliseconds: routing.retryBackoffMilliseconds,
    retryBudgetFor: getRetryBudget,
    onRetry: (entry: string) => metrics.retries.inc({entry}),
  };
}

function registerPlacement(
  register: RegisterFactory,
  dependencies: NodeDependencies,
): void {
  const {settings, identity, store, connector, logger, metrics} = dependencies;
  const {planner, placement, node} = settings;
  register(
    PLANNER_LEASE,
    () =>
      new PlannerLease(
        store,
        node.region,
        identity.identity,
        planner.leaseMilliseconds,
      ),
  );
  register(PLANNER, container => {
    const environment = new NodePlannerEnvironment(
      node.region,
      container.resolve(HOST_WATCHER),
      container.resolve(UPSTREAM_DIRECTORY),
      connector,
      container.resolve(ADMISSION_CONTROLLER),
      container.resolve(CLUSTER_VIEW),
      container.resolve(CATALOGUE_HOLDER),
      logger,
      metrics,
    );
    return new Planner(
      store,
      container.resolve(CATALOGUE_HOLDER),
      container.resolve(PLANNER_LEASE),
      environment,
      {...planner, ...placement, region: node.region},
    );
  });
}
