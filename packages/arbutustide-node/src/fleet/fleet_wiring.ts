import 'reflect-metadata';

import type {Identity} from './fleet_identity.js';
import type {FleetDependencies} from './fleet_dependencies.js';
import type {DependencyContainer, InjectionToken} from 'tsyringe';

import {
  ClusterView,
  Gossip,
  MemberTable,
  OwnRecord,
} from '@arbutustide/membership';
import {
  FleetPlanner,
  PlannerLease,
  PlannerTenure,
} from '@arbutustide/placement';
import {
  chooseUpstream,
  DemandCounter,
  FleetDirectory,
  FleetDispatcher,
  NoChoice,
  PlaceQueue,
  RequestSuspects,
} from '@arbutustide/routing';
import {container as rootContainer, instanceCachingFactory} from 'tsyringe';

import {OwnStatus} from '../own_status.js';
import {ConfigurationWatcher} from './configuration_watcher.js';
import {FleetBudgets} from './fleet_budgets.js';
import {measurePlanner, measureRequest} from './fleet_metrics.js';
import {NodeFleetSurroundings} from './fleet_surroundings.js';
import {FleetToken} from './fleet_tokens.js';
import * as tuning from './fleet_tuning.js';
import {HolderCheck} from './holder_check.js';
import {HoldingRequester} from './holding_requester.js';
import {PlannerLink} from './planner_link.js';
import {UpstreamWatcher} from './upstream_watcher.js';

/** Region under which the one planner of all regions has its lease. */
const LEASE_REGION = 'all';

type Register = <T>(
  token: InjectionToken<T>,
  create: (container: DependencyContainer) => T,
) => void;

/** Wires the parts of a node that serves routes. */
export function createFleetContainer(
  dependencies: FleetDependencies,
  identity: Identity,
): DependencyContainer {
  const container = rootContainer.createChildContainer();
  const register: Register = (token, create) => {
    container.register(token, {useFactory: instanceCachingFactory(create)});
  };
  container.register(FleetToken.DEPENDENCIES, {useValue: dependencies});
  registerWatchers(register, dependencies);
  registerMembership(register, dependencies, identity);
  registerRouting(register, dependencies);
  registerLease(register, dependencies, identity);
  registerPlacement(register, dependencies);
  return container;
}

function registerWatchers(
  register: Register,
  dependencies: FleetDependencies,
): void {
  register(FleetToken.DIRECTORY, () => new FleetDirectory());
  register(FleetToken.COUNTER, () => new DemandCounter());
  register(
    FleetToken.CONFIGURATION,
    () => new ConfigurationWatcher(dependencies),
  );
  register(
    FleetToken.UPSTREAMS,
    parts =>
      new UpstreamWatcher(dependencies, parts.resolve(FleetToken.DIRECTORY)),
  );
}

function registerMembership(
  register: Register,
  {settings, transport, random}: FleetDependencies,
  {identity, peerUrl}: Identity,
): void {
  const expiry = tuning.GOSSIP_EXPIRY_MILLISECONDS;
  register(FleetToken.MEMBER_TABLE, () => {
    const own = new OwnRecord(identity, tuning.REMOVAL_EXPIRIES * expiry);
    return new MemberTable(own, expiry);
  });
  register(
    FleetToken.CLUSTER_VIEW,
    parts => new ClusterView(parts.resolve(FleetToken.MEMBER_TABLE)),
  );
  register(
    FleetToken.GOSSIP,
    parts =>
      new Gossip(parts.resolve(FleetToken.MEMBER_TABLE), transport, {
        ownUrl: peerUrl,
        ownFailureDomain: settings.failureDomain,
        intervalMilliseconds: tuning.GOSSIP_INTERVAL_MILLISECONDS,
        heartbeatMilliseconds: tuning.GOSSIP_HEARTBEAT_MILLISECONDS,
        maximumPeers: tuning.GOSSIP_PEERS,
        random,
      }),
  );
  register(FleetToken.SUSPECTS, parts => {
    const view = parts.resolve(FleetToken.CLUSTER_VIEW);
    return new RequestSuspects(
      tuning.SUSPECT_MILLISECONDS,
      {
        crashes: fingerprint => view.peerCrashes(fingerprint),
        runsOthers: () => false,
      },
      tuning.CRASHES_TO_CONVICT,
    );
  });
  register(FleetToken.OWN_STATUS, parts => {
    const tenure = parts.resolve(FleetToken.TENURE);
    const {nodeName: name, region, failureDomain} = settings;
    return new OwnStatus(
      parts.resolve(FleetToken.MEMBER_TABLE),
      {name, peerUrl, region, failureDomain},
      parts.resolve(FleetToken.DIRECTORY),
      parts.resolve(FleetToken.COUNTER),
      parts.resolve(FleetToken.SUSPECTS),
      () =>
        parts.resolve(FleetToken.CONFIGURATION).routes?.configuration.version ??
        0,
      () => (tenure.checkActive() ? tenure.epoch : 0),
    );
  });
}

function registerRouting(
  register: Register,
  dependencies: FleetDependencies,
): void {
  const {settings, connector, logger, metrics} = dependencies;
  register(FleetToken.BUDGETS, parts => {
    const view = parts.resolve(FleetToken.CLUSTER_VIEW);
    return new FleetBudgets(
      settings.retry,
      () => view.nodes().length,
      tuning.LEAST_NODES,
    );
  });
  register(FleetToken.QUEUE, parts => createQueue(parts, dependencies));
  register(FleetToken.DISPATCHER, parts => {
    const budgets = parts.resolve(FleetToken.BUDGETS);
    return new FleetDispatcher(parts.resolve(FleetToken.QUEUE), connector, {
      recordRequest: service => budgets.of(service).recordRequest(),
      tryTakeRetry: service => budgets.of(service).tryTake(),
      onMissing: (upstream, model) => upstream.learnHolding(model, false),
      onDecision: decision => {
        logger.info(decision, 'request');
        measureRequest(decision, metrics);
      },
      suspects: parts.resolve(FleetToken.SUSPECTS),
    });
  });
}

function createQueue(
  parts: DependencyContainer,
  {settings, random}: FleetDependencies,
): PlaceQueue {
  const directory = parts.resolve(FleetToken.DIRECTORY);
  const requester = parts.resolve(FleetToken.REQUESTER);
  const choiceSettings = {
    ownFailureDomain: settings.failureDomain,
    crossDomainShare: tuning.CROSS_DOMAIN_SHARE,
    random,
  };
  return new PlaceQueue({
    choose: ({request, tried}) =>
      chooseUpstream(
        directory.ofService(request.service),
        request.modelRequest,
        tried,
        {
          ...choiceSettings,
          fullShare: request.modelRequest
            ? tuning.ENGINE_FULL_SHARE
            : tuning.SERVICE_FULL_SHARE,
        },
      ),
    predictWait: ({request: {service, modelRequest}}, reason) => {
      if (reason === NoChoice.FULL) return tuning.LEAST_SERVICE_MILLISECONDS;
      return modelRequest && requester.expectedWait(service, modelRequest);
    },
    serviceMilliseconds: () => tuning.LEAST_SERVICE_MILLISECONDS,
    onNotHeld: ({request: {service, modelRequest}}) => {
      if (modelRequest) requester.ask(service, modelRequest);
    },
    observer: parts.resolve(FleetToken.COUNTER),
  });
}

function registerLease(
  register: Register,
  {settings, store, transport}: FleetDependencies,
  {identity}: Identity,
): void {
  register(
    FleetToken.HOLDER_CHECK,
    parts => new HolderCheck(parts.resolve(FleetToken.MEMBER_TABLE), transport),
  );
  register(FleetToken.LEASE, parts => {
    const check = parts.resolve(FleetToken.HOLDER_CHECK);
    return new PlannerLease(
      store,
      LEASE_REGION,
      identity,
      settings.leaseMilliseconds,
      holder => check.hasEnded(holder),
    );
  });
  register(FleetToken.TENURE, parts => {
    const view = parts.resolve(FleetToken.CLUSTER_VIEW);
    return new PlannerTenure(
      parts.resolve(FleetToken.LEASE),
      {
        nodeCount: () => view.nodes().length,
        otherPlannerEpoch: () => view.otherPlannerEpoch(),
        hasSteppedDown: holder => view.hasSteppedDown(holder),
      },
      settings,
    );
  });
}

function registerPlacement(
  register: Register,
  {settings, orders, transport, logger, metrics}: FleetDependencies,
): void {
  register(FleetToken.PLANNER, parts => {
    const surroundings = new NodeFleetSurroundings(
      parts.resolve(FleetToken.DIRECTORY),
      parts.resolve(FleetToken.COUNTER),
      parts.resolve(FleetToken.MEMBER_TABLE),
      parts.resolve(FleetToken.CLUSTER_VIEW),
      () => parts.resolve(FleetToken.CONFIGURATION).routes?.configuration,
      () =>
        void parts
          .resolve(FleetToken.GOSSIP)
          .spreadWide(tuning.ANNOUNCEMENT_PEERS),
      decision => {
        logger.info(decision, 'planner');
        measurePlanner(decision, metrics);
      },
    );
    return new FleetPlanner(
      parts.resolve(FleetToken.LEASE),
      parts.resolve(FleetToken.TENURE),
      orders,
      surroundings,
      {
        ...tuning.PLANNER_TUNING,
        holder: settings.nodeName,
        suspensionMilliseconds: settings.suspensionToleranceMilliseconds,
      },
    );
  });
  register(FleetToken.REQUESTER, parts => {
    const link = new PlannerLink(
      parts.resolve(FleetToken.CLUSTER_VIEW),
      transport,
      () => parts.resolve(FleetToken.PLANNER),
    );
    return new HoldingRequester(link, parts.resolve(FleetToken.DIRECTORY));
  });
}
