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
} from '@arbutustide/membership';
import {Planner, PlannerLease} from '@arbutustide/placement';
import {
  Admission,
  AttemptRunner,
  Dispatcher,
  RequestSuspects,
  RetryBudget,
  UpstreamDirectory,
} from '@arbutustide/routing';
import {HostKind} from '@arbutustide/upstream';
import {container as rootContainer, instanceCachingFactory} from 'tsyringe';

import {CatalogueNeighbourhood} from './catalogue_neighbourhood.js';
import {HostWatcher} from './host_watcher.js';
import {NodeCore} from './node_core.js';
import {DEPENDENCIES} from './node_dependencies.js';
import {OwnStatus} from './own_status.js';
import {NodePlannerSurroundings} from './planner_surroundings.js';
import {ReportPoller} from './report_poller.js';
import {
  ADMISSION,
  CATALOGUE_HOLDER,
  CATALOGUE_SYNC,
  CLAIM_STORE,
  CLUSTER_VIEW,
  DISPATCHER,
  GOSSIP,
  HOST_WATCHER,
  MEMBER_TABLE,
  OWN_STATUS,
  PLANNER,
  PLANNER_LEASE,
  REPORT_POLLER,
  REQUEST_SUSPECTS,
  UPSTREAM_DIRECTORY,
} from './tokens.js';

/** Time between two looks at the peers' revisions. */
const CATALOGUE_POLL_MILLISECONDS = 250;
/** Longest time without asking the store where other nodes watch it. */
const STORE_POLL_MILLISECONDS = 60_000;
/** Removals are passed on for this many expiry times. */
const REMOVAL_EXPIRIES = 2;

type Register = <T>(
  token: InjectionToken<T>,
  create: (container: DependencyContainer) => T,
) => void;

/** Wires a node from its dependencies. */
export function createNodeCore(dependencies: NodeDependencies): NodeCore {
  const container = rootContainer.createChildContainer();
  const register: Register = (token, create) => {
    container.register(token, {useFactory: instanceCachingFactory(create)});
  };
  container.register(DEPENDENCIES, {useValue: dependencies});
  container.register('container', {useValue: container});
  registerMembership(register, dependencies);
  registerCatalogue(register, dependencies);
  registerRouting(register, dependencies);
  registerPlacement(register, dependencies);
  return container.resolve(NodeCore);
}

function registerMembership(
  register: Register,
  {settings, identity, transport, random}: NodeDependencies,
): void {
  const {node, gossip, routing} = settings;
  register(MEMBER_TABLE, () => {
    const kept = REMOVAL_EXPIRIES * gossip.expiryMilliseconds;
    const own = new OwnRecord(identity.identity, kept);
    return new MemberTable(own, gossip.expiryMilliseconds);
  });
  register(CLUSTER_VIEW, parts => new ClusterView(parts.resolve(MEMBER_TABLE)));
  register(
    GOSSIP,
    parts =>
      new Gossip(parts.resolve(MEMBER_TABLE), transport, {
        ownUrl: identity.peerUrl,
        ownFailureDomain: node.failureDomain,
        intervalMilliseconds: gossip.intervalMilliseconds,
        heartbeatMilliseconds: gossip.heartbeatMilliseconds,
        maximumPeers: gossip.maximumPeers,
        random,
      }),
  );
  register(
    OWN_STATUS,
    parts =>
      new OwnStatus(
        parts.resolve(MEMBER_TABLE),
        {
          name: node.name,
          peerUrl: identity.peerUrl,
          region: node.region,
          failureDomain: node.failureDomain,
        },
        parts.resolve(UPSTREAM_DIRECTORY),
        parts.resolve(ADMISSION),
        parts.resolve(REQUEST_SUSPECTS),
        () => parts.resolve(CATALOGUE_HOLDER).revision,
      ),
  );
  register(
    REPORT_POLLER,
    parts =>
      new ReportPoller(
        parts.resolve(UPSTREAM_DIRECTORY),
        parts.resolve(DEPENDENCIES).connector,
        parts.resolve(MEMBER_TABLE),
        parts.resolve(CLUSTER_VIEW),
        {
          ownIdentity: identity.identity,
          intervalMilliseconds: routing.reportIntervalMilliseconds,
          refreshMilliseconds: routing.observationRefreshMilliseconds,
          pollersPerUpstream: routing.pollersPerUpstream,
        },
      ),
  );
}

function registerCatalogue(
  register: Register,
  dependencies: NodeDependencies,
): void {
  const {settings, identity, store, transport, logger} = dependencies;
  register(CATALOGUE_HOLDER, () => new CatalogueHolder());
  register(CATALOGUE_SYNC, parts => {
    const neighbours = new CatalogueNeighbourhood(
      parts.resolve(CLUSTER_VIEW),
      transport,
      {
        ownIdentity: identity.identity,
        ownPeerUrl: identity.peerUrl,
        ownFailureDomain: settings.node.failureDomain,
        watchersPerFailureDomain: settings.gossip.watchersPerFailureDomain,
        listedPeerUrls: () =>
          parts
            .resolve(HOST_WATCHER)
            .hostsOf(HostKind.ENTRY)
            .map(({url}) => url),
      },
    );
    const holder = parts.resolve(CATALOGUE_HOLDER);
    return new CatalogueSync(store, holder, neighbours, {
      pollMilliseconds: CATALOGUE_POLL_MILLISECONDS,
      storePollMilliseconds: STORE_POLL_MILLISECONDS,
      onProblem: reason => logger.warn({reason}, 'catalogue'),
    });
  });
}

function registerRouting(
  register: Register,
  dependencies: NodeDependencies,
): void {
  const {settings, identity, store, connector, hostList, logger} = dependencies;
  const {routing} = settings;
  register(UPSTREAM_DIRECTORY, () => new UpstreamDirectory());
  register(
    HOST_WATCHER,
    parts =>
      new HostWatcher(
        hostList,
        parts.resolve(UPSTREAM_DIRECTORY),
        parts.resolve(GOSSIP),
        logger,
        settings.platform.hostListIntervalMilliseconds,
      ),
  );
  register(REQUEST_SUSPECTS, parts => {
    const view = parts.resolve(CLUSTER_VIEW);
    return new RequestSuspects(routing.quarantineMilliseconds, {
      crashes: fingerprint => view.peerCrashes(fingerprint),
      runsOthers: fingerprint => view.peersRunOtherSuspects(fingerprint),
    });
  });
  register(ADMISSION, parts => createAdmission(parts, dependencies));
  register(CLAIM_STORE, parts => {
    const view = parts.resolve(CLUSTER_VIEW);
    return new ClaimStore(store, {
      claimant: identity.identity,
      answerLimitBytes: settings.claims.answerLimitBytes,
      isAlive: other => view.isAlive(other),
    });
  });
  register(DISPATCHER, parts => {
    const directory = parts.resolve(UPSTREAM_DIRECTORY);
    return new Dispatcher(
      directory,
      parts.resolve(ADMISSION),
      new AttemptRunner(directory, connector),
      parts.resolve(REQUEST_SUSPECTS),
      parts.resolve(CLAIM_STORE),
      dispatcherOptions(parts, dependencies),
    );
  });
}

function createAdmission(
  parts: DependencyContainer,
  {settings}: NodeDependencies,
): Admission {
  const {routing} = settings;
  const view = parts.resolve(CLUSTER_VIEW);
  const directory = parts.resolve(UPSTREAM_DIRECTORY);
  const holder = parts.resolve(CATALOGUE_HOLDER);
  const peerRequests = (entryName: string) => {
    const {inFlight, queued} = view.peerDemand(entryName);
    return inFlight + queued;
  };
  return new Admission({
    upstreamConcurrency: routing.upstreamConcurrency,
    adapterConcurrency: routing.adapterConcurrency,
    initialServiceMilliseconds: routing.initialServiceMilliseconds,
    replicaCount: (entry: CatalogueEntry) => {
      const item = holder.current?.itemName(entry) ?? '';
      return directory.readyReplicas(entry, item).length;
    },
    peerDemand: {
      entry: peerRequests,
      adapters: () =>
        (holder.current?.entriesOf(EntryKind.ADAPTER) ?? []).reduce(
          (sum, {name}) => sum + peerRequests(name),
          0,
        ),
      nodeCount: () => view.readyNodeCount(),
    },
  });
}

function dispatcherOptions(
  parts: DependencyContainer,
  {settings, metrics, random}: NodeDependencies,
) {
  const {routing, node} = settings;
  const view = parts.resolve(CLUSTER_VIEW);
  const budgets = new Map<string, RetryBudget>();
  const budgetOf = (className: string) => {
    const known = budgets.get(className);
    if (known) return known;
    const budget = new RetryBudget(routing.retryShare);
    budgets.set(className, budget);
    return budget;
  };
  return {
    choice: {
      ownFailureDomain: node.failureDomain,
      peerLoad: (upstreamId: string) => view.peerLoad(upstreamId),
      upstreamConcurrency: routing.upstreamConcurrency,
      crossDomainMilliseconds: routing.crossDomainMilliseconds,
      prefixMilliseconds: routing.prefixMilliseconds,
      sampleSize: routing.sampleSize,
      random,
    },
    maximumAttempts: routing.maximumAttempts,
    retryBackoffMilliseconds: routing.retryBackoffMilliseconds,
    budgetOf,
    onRetry: (entry: string) => metrics.retries.inc({entry}),
  };
}

function registerPlacement(
  register: Register,
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
  register(PLANNER, parts => {
    const surroundings = new NodePlannerSurroundings(
      node.region,
      parts.resolve(HOST_WATCHER),
      parts.resolve(UPSTREAM_DIRECTORY),
      connector,
      parts.resolve(ADMISSION),
      parts.resolve(CLUSTER_VIEW),
      parts.resolve(CATALOGUE_HOLDER),
      logger,
      metrics,
    );
    return new Planner(
      store,
      parts.resolve(CATALOGUE_HOLDER),
      parts.resolve(PLANNER_LEASE),
      surroundings,
      {...planner, ...placement, region: node.region},
    );
  });
}
