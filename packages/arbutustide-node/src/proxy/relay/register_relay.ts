import type {RoutedRequestProgress} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import type {PeerIdentity} from '../peer_identity.js';
import type {ProxyDependencies} from '../proxy_dependencies.js';
import type {RegisterSingleton} from '../register_singleton.js';
import type {RelayCandidate} from './choose_relay_peer.js';

import {
  compatibleUpstreams,
  ProbeKind,
  ReachabilityMonitor,
} from '@arbutustide/routing';

import {ProxyToken} from '../proxy_tokens.js';
import {ClusterRequestRelay} from './cluster_request_relay.js';
import {mayReachAny} from './lost_upstreams.js';
import {RelayServer} from './relay_server.js';
import {understands} from './understands.js';

/** Registers what finds out about lost paths and passes requests on. */
export function registerRelay(
  register: RegisterSingleton,
  dependencies: ProxyDependencies,
  {identity}: PeerIdentity,
): void {
  const {transport, random, logger} = dependencies;
  register(ProxyToken.REACHABILITY_MONITOR, container =>
    createMonitor(container, dependencies),
  );
  register(
    ProxyToken.REQUEST_RELAY,
    container =>
      new ClusterRequestRelay({
        identity,
        listCandidates: progress =>
          listCandidates(container, progress, identity),
        transport,
        random,
        logger,
        answerPeriod: container.resolve(ProxyToken.SHUTDOWN_ADMISSION),
      }),
  );
  register(ProxyToken.RELAY_SERVER, container => {
    const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
    return new RelayServer(
      container.resolve(ProxyToken.DISPATCHER),
      sender => sender !== identity && clusterView.isAlive(sender),
      container.resolve(ProxyToken.SHUTDOWN_ADMISSION),
      logger,
    );
  });
}

function createMonitor(
  container: DependencyContainer,
  {connector, logger}: ProxyDependencies,
): ReachabilityMonitor {
  const directory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const services = () =>
    container.resolve(ProxyToken.CONFIGURATION_WATCHER).routes?.configuration
      .services ?? new Map();
  return new ReachabilityMonitor({
    listServices: () => services().keys(),
    listUpstreams: service => directory.listByService(service),
    probe: async upstream => {
      const isEngine = services().get(upstream.description.service)?.engine;
      const kind = isEngine ? ProbeKind.REPORT : ProbeKind.CONNECTION;
      try {
        return await connector.probe(upstream, kind);
      } catch (error) {
        logger.warn({upstream: upstream.id, err: error}, 'failed to probe');
        return false;
      }
    },
    onServiceChange: (service, change) => {
      logger.warn({service, change}, 'path to a service has changed');
      container.resolve(ProxyToken.OWN_STATUS).publish();
      directory.notifyListeners();
    },
    onUpstreamChange: ({id, reachability}) => {
      logger.info(
        {upstream: id, isLost: reachability.hasFailed},
        'path to an upstream has changed',
      );
      directory.notifyListeners();
    },
  });
}

/** Ready peers that may send to an upstream which can serve the request. */
function listCandidates(
  container: DependencyContainer,
  progress: RoutedRequestProgress,
  ownIdentity: string,
): RelayCandidate[] {
  const {service, modelRequest} = progress.request;
  const directory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const clusterView = container.resolve(ProxyToken.CLUSTER_VIEW);
  const brittleUpstreams = container.resolve(ProxyToken.BRITTLE_UPSTREAMS);
  const brittleTerms = brittleUpstreams.termsFor(service);
  const upstreams = [
    ...compatibleUpstreams(directory.listByService(service), progress),
  ].filter(
    upstream =>
      upstream.isReady && (!modelRequest || upstream.canServe(modelRequest)),
  );
  return clusterView
    .readyNodes()
    .filter(
      node =>
        node.identity !== ownIdentity &&
        understands(node, progress.request) &&
        mayReachAny(
          clusterView,
          node.identity,
          service,
          upstreams.filter(upstream =>
            brittleUpstreams.maySend(upstream, brittleTerms, node.identity),
          ),
        ),
    )
    .map(({name, identity, peerUrl}) => ({
      name,
      identity,
      peerUrl,
      load: clusterView.requestsInFlightAt(identity),
    }));
}
