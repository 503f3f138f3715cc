import type {Settings} from '@arbutustide/settings';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {NodeDependencies} from './node_dependencies.js';

import {randomUUID} from 'node:crypto';

import {delay} from '@arbutustide/errors';
import {ConnectPeerServer, ConnectPeerTransport} from '@arbutustide/membership';
import {HttpObjectStore, StoreCallCounter} from '@arbutustide/object-store';
import {maximumLeaseCallMilliseconds} from '@arbutustide/placement';
import {createLogger, NodeMetrics} from '@arbutustide/telemetry';
import {HttpHostList} from '@arbutustide/upstream';

import {BoundName, BoundRecorder, ServerName} from './bounds/bound_recorder.js';
import {createConnectionErrorLog} from './connection_error_log.js';
import {CallerServer} from './caller_server.js';
import {ControlServer} from './control_server.js';
import {HttpUpstreamConnector} from './http_upstream_connector.js';
import {createNodeCore} from './create_node_core.js';

/**
 * Hexadecimal characters of an instance ID; enough that two process starts
 * practically never get the same one.
 */
const INSTANCE_ID_LENGTH = 12;

/** Ports on which a running node listens. */
export interface NodePorts {
  readonly callerPort: number;
  readonly peerPort: number;
  readonly controlPort: number;
}

/** A running node. */
export interface RunningNode {
  readonly ports: NodePorts;
  readonly logger: NodeLogger;
  /**
   * Shuts down gracefully: announces that the node leaves, keeps accepting
   * requests for `shutdown.listenMilliseconds`, then refuses new ones and waits
   * for those in flight for up to `shutdown.drainMilliseconds`.
   */
  stop(): Promise<void>;
}

/**
 * Starts a node process: connects it to the object store, the host list, its
 * peers and the upstreams over HTTP, and listens on the configured ports.
 */
export async function startNode(settings: Settings): Promise<RunningNode> {
  const {node, shutdown} = settings;
  const logger = createLogger(node.name, settings.log.level);
  const peerServer = new ConnectPeerServer(
    () => core,
    () => recorder.record(ServerName.PEERS, BoundName.CONNECTIONS),
  );
  const peerPort = await peerServer.listen(node.address, node.peerPort);
  const dependencies = createDependencies(settings, peerPort, logger);
  const recorder = new BoundRecorder(dependencies.metrics, logger);
  const core = createNodeCore(dependencies);
  const callerServer = new CallerServer(core, dependencies);
  const controlServer = new ControlServer(core, dependencies);
  const controlPort = await controlServer.listen(
    node.address,
    node.controlPort,
  );
  await core.start();
  const callerPort = await callerServer.listen(node.address, node.callerPort);
  const ports = {callerPort, peerPort, controlPort};
  logger.info({ports, identity: dependencies.identity.identity}, 'started');
  return {
    ports,
    logger,
    async stop() {
      logger.info({inFlight: callerServer.inFlightCount}, 'leaving');
      callerServer.beginClosingIdle();
      await core.announceLeaving();
      await delay(shutdown.listenMilliseconds);
      await callerServer.close(shutdown.drainMilliseconds);
      await core.stop();
      await controlServer.close();
      await peerServer.close();
      logger.info('stopped');
    },
  };
}

function createDependencies(
  settings: Settings,
  peerPort: number,
  logger: NodeLogger,
): NodeDependencies {
  const {node, planner, platform, routing, gossip} = settings;
  const metrics = new NodeMetrics();
  metrics.collectRuntimeMetrics();
  const tokenVariable = platform.tokenVariable ?? '';
  const peerUrl = formatPeerUrl(node.address, peerPort);
  const instanceId = randomUUID()
    .replaceAll('-', '')
    .slice(0, INSTANCE_ID_LENGTH);
  return {
    settings,
    logger,
    metrics,
    random: Math.random,
    identity: {identity: `${node.address}:${peerPort}#${instanceId}`, peerUrl},
    transport: new ConnectPeerTransport(
      gossip.callTimeoutMilliseconds,
      createConnectionErrorLog(logger),
    ),
    store: new HttpObjectStore({
      url: platform.objectStoreUrl,
      timeoutMilliseconds: platform.callTimeoutMilliseconds,
      maximumMilliseconds: maximumLeaseCallMilliseconds(
        planner.leaseMilliseconds,
      ),
      watchMilliseconds: platform.watchMilliseconds,
      token: process.env[tokenVariable],
      counter: new StoreCallCounter(method =>
        metrics.objectStoreCalls.inc({method}),
      ),
    }),
    hostList: new HttpHostList({
      url: platform.hostListUrl,
      maximumConnections: 1,
      connectTimeoutMilliseconds: routing.connectTimeoutMilliseconds,
      callTimeoutMilliseconds: platform.callTimeoutMilliseconds,
    }),
    connector: new HttpUpstreamConnector({
      maximumConnections: routing.connectionsPerUpstream,
      connectTimeoutMilliseconds: routing.connectTimeoutMilliseconds,
      callTimeoutMilliseconds: routing.reportTimeoutMilliseconds,
    }),
  };
}

function formatPeerUrl(address: string, port: number): string {
  const host = address.includes(':') ? `[${address}]` : address;
  return `http://${host}:${port}`;
}
