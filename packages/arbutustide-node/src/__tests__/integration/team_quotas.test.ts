/**
 * Guards against whole nodes, on real sockets, of which each grants a team its
 * quota in full, and against quotas that are wired to no configuration.
 */
import type {RoutedRequest, ServingConfiguration} from '@arbutustide/routing';

import type {ProxyDependencies} from '../../proxy/proxy_dependencies.js';

import {delay, ErrorKind} from '@arbutustide/errors';
import {
  ConnectPeerServer,
  ConnectPeerTransport,
  NodeState,
} from '@arbutustide/membership';
import {QuotaUnit} from '@arbutustide/routing';
import {NodeMetrics, silentLogger} from '@arbutustide/telemetry';
import {expect} from 'chai';
import {Ok} from 'ts-results';

import {ProxyPeerHandler} from '../../proxy/proxy_peer_handler.js';
import {ProxyToken} from '../../proxy/proxy_tokens.js';
import {createProxyContainer} from '../../proxy/proxy_wiring.js';

const ADDRESSES = ['127.0.0.11', '127.0.0.12', '127.0.0.13'];
const TEAM = 'team';
const RATE_PER_SECOND = 20;
/** New issuers have begun to issue, and their buckets are full. */
const WARM_UP_MILLISECONDS = 6_000;
const LOAD_MILLISECONDS = 2_000;
const UPDATE_MILLISECONDS = 250;

const CONFIGURATION = {
  version: 1,
  routes: [],
  services: new Map(),
  teams: [
    {
      name: TEAM,
      apiKeys: [],
      priority: undefined,
      quota: {
        unit: QuotaUnit.REQUESTS,
        ratePerSecond: RATE_PER_SECOND,
        burst: RATE_PER_SECOND,
        plainTokens: 0,
      },
    },
  ],
} as unknown as ServingConfiguration;

describe('quota of a team at whole nodes', function () {
  this.timeout(30_000);
  let stops: (() => Promise<void>)[];
  let peerPort: number;

  beforeEach(() => {
    stops = [];
    peerPort = 21_000 + (process.pid % 9_000);
  });
  afterEach(() => Promise.all(stops.map(stop => stop())));

  async function startNode(address: string) {
    const metrics = new NodeMetrics();
    const dependencies = {
      settings: {
        nodeName: address,
        address,
        region: 'region',
        failureDomain: 'domain',
        peerPort,
        seedAddresses: ADDRESSES,
        suspensionToleranceMilliseconds: 300,
        changeBoundMilliseconds: 2_000,
        leaseMilliseconds: 1_000,
        revocation: {isClosed: false, boundMilliseconds: 5_000},
      },
      logger: silentLogger(),
      metrics,
      store: {},
      transport: new ConnectPeerTransport(1_000, () => {}),
      configuration: {
        prefix: 'config/',
        decode: () => Ok(CONFIGURATION),
        redact: (value: unknown) => value,
      },
      random: Math.random,
    } as unknown as ProxyDependencies;
    const identity = {
      identity: `${address}:${peerPort}#1`,
      peerUrl: `http://${address}:${peerPort}`,
    };
    const container = createProxyContainer(dependencies, identity);
    const handler = new ProxyPeerHandler(container, identity.identity);
    const server = new ConnectPeerServer(() => handler);
    await server.listen(address, peerPort);
    container
      .resolve(ProxyToken.CONFIGURATION_WATCHER)
      .applyObject({key: 'config/main', version: 'v', value: {}} as never);
    container.resolve(ProxyToken.OWN_STATUS).setState(NodeState.READY);
    const gossip = container.resolve(ProxyToken.GOSSIP);
    gossip.start();
    gossip.setListedPeers(
      ADDRESSES.filter(other => other !== address).map(other => ({
        url: `http://${other}:${peerPort}`,
        failureDomain: '',
      })),
    );
    const quotas = container.resolve(ProxyToken.TEAM_QUOTAS);
    const timer = setInterval(() => quotas.update(), UPDATE_MILLISECONDS);
    stops.push(async () => {
      clearInterval(timer);
      gossip.stop();
      await server.close();
    });
    return {quotas, metrics};
  }

  it('is issued once, by rate and burst, and refused with a time', async () => {
    const nodes = await Promise.all(ADDRESSES.map(startNode));
    await delay(WARM_UP_MILLISECONDS);
    const request = {team: {name: TEAM}} as RoutedRequest;
    const end = performance.now() + LOAD_MILLISECONDS;
    let admitted = 0;
    let refused = 0;
    while (performance.now() < end) {
      const taken = await Promise.all(
        nodes.map(({quotas}) => quotas.take(request)),
      );
      for (const result of taken) {
        if (result.ok) admitted += 1;
        else {
          refused += 1;
          expect(result.val.kind).to.equal(ErrorKind.QUOTA_EXCEEDED);
          expect(result.val.retryAfterMilliseconds).to.be.above(0);
        }
      }
      await delay(10);
    }
    const seconds = LOAD_MILLISECONDS / 1_000;
    const quota = RATE_PER_SECOND * (seconds + 1);
    expect(admitted).to.be.at.least(0.8 * quota);
    expect(admitted).to.be.at.most(1.3 * quota);
    expect(refused).to.be.above(admitted);
    const text = await nodes[0].metrics.registry.metrics();
    expect(text).to.include('event="used"');
    expect(text).to.match(
      new RegExp(`arbutustide_quota_refusals_total{team="${TEAM}"} [1-9]`),
    );
  });
});
