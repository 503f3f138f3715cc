import type {
  ClusterNode,
  LeaseQuotaRequest,
  LeaseQuotaResponse,
} from '@arbutustide/membership';
import type {
  GateAdmission,
  RoutedRequest,
  ServingConfiguration,
} from '@arbutustide/routing';
import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {SimulatedTeam} from './quota_configuration.js';

import {
  LeaseQuotaResponseSchema,
  NodeState,
  PeerError,
  ProtocolLevel,
} from '@arbutustide/membership';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

import {createQuotaConfiguration} from './quota_configuration.js';
import {ClusterTeamQuotas} from '../../proxy/quotas/cluster_team_quotas.js';
import {ConfiguredLimits} from '../../proxy/quotas/configured_limits.js';
import {expectedNodeCount} from '../../proxy/quotas/expected_node_count.js';
import {QuotaMembership} from '../../proxy/quotas/quota_membership.js';
import {
  DEFAULT_QUOTA_RULE,
  LONE_NODE_COUNT,
  SHARE_RETENTION_MILLISECONDS,
} from '../../proxy/quotas/quota_tuning.js';
import {ReachableNodes} from '../../proxy/quotas/reachable_nodes.js';
import {chooseIssuers} from '../../proxy/rate_limit/choose_token_issuer.js';

/** Time until a message arrives at another node. */
const LATENCY_MILLISECONDS = 5;
/** Time after which the transport gives a call up. */
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Time until a node drops one that it does not hear, at least and at most. */
const LEAST_LOSS_MILLISECONDS = 3_500;
const LOSS_SPREAD_MILLISECONDS = 2_000;
/** Time until a node knows one that it can reach again, at least and at most. */
const LEAST_GAIN_MILLISECONDS = 300;
const GAIN_SPREAD_MILLISECONDS = 2_000;
/** Time until a configuration is in force at a node, at most. */
const APPLY_MILLISECONDS = 2_000;
/** Interval at which nodes apply what peers have published. */
const UPDATE_MILLISECONDS = 250;

/** Age up to which a node uses what it last read of the others. */
const VIEW_MILLISECONDS = 100;
/** Time after which a change of the cluster is known everywhere. */
const SETTLED = 6_000;

/** How one node sees another one. */
interface Link {
  isUp: boolean;
  changedAtMilliseconds: number;
  wasVisible: boolean;
}

/** What a node last knew of the others. */
interface KnownNodes {
  readonly nodes: readonly ClusterNode[];
  readonly atMilliseconds: number;
}

/** Units that ran, for the rule. */
export interface AdmittedUnits {
  readonly team: string;
  readonly cost: number;
  readonly atMilliseconds: number;
}

/** One node, which sees the others with a delay. */
export class QuotaNode {
  readonly peerUrl: string;
  quotas: ClusterTeamQuotas;
  links: Link[] = [];
  view: KnownNodes = {nodes: [], atMilliseconds: -Infinity};
  /** The part of a partition that the node is in. */
  part = 0;
  isFrozen = false;
  configuration: ServingConfiguration;
  private starts = 0;

  constructor(
    private readonly cluster: QuotaCluster,
    readonly index: number,
  ) {
    this.peerUrl = `http://node-${index}`;
    this.configuration = cluster.configuration;
    this.quotas = this.createQuotas();
  }

  get identity(): string {
    return `node-${this.index}#${this.starts}`;
  }

  /** Replaces the process: it knows no other node, and nothing it issued. */
  restart(): void {
    this.starts += 1;
    this.isFrozen = false;
    this.view = {nodes: [], atMilliseconds: -Infinity};
    this.configuration = this.cluster.configuration;
    this.quotas = this.createQuotas();
  }

  update(): void {
    if (!this.isFrozen) this.quotas.update();
  }

  take(
    team: string,
    cost: number,
  ): Promise<Result<GateAdmission, RefusalError>> {
    return this.quotas.take({
      team: {name: team},
      modelRequest: {promptTokens: cost, maximumOutputTokens: 0},
    } as RoutedRequest);
  }

  private createQuotas(): ClusterTeamQuotas {
    const listNodes = () => this.cluster.visibleFrom(this);
    const isAlone = this.cluster.nodeCount === 1;
    const share = new ReachableNodes({
      listNodes,
      initialNodeCount: isAlone ? 1 : LONE_NODE_COUNT,
      retentionMilliseconds: SHARE_RETENTION_MILLISECONDS,
      countExpected: knownUrls =>
        expectedNodeCount(
          knownUrls,
          this.cluster.nodes.map(({peerUrl}) => peerUrl),
        ),
    });
    const {identity} = this;
    return new ClusterTeamQuotas({
      identity,
      rule: DEFAULT_QUOTA_RULE,
      limits: new ConfiguredLimits(
        () => this.configuration,
        DEFAULT_QUOTA_RULE,
      ),
      membership: new QuotaMembership({
        identity,
        listNodes,
        reachableShare: () => share.update(),
        mayHavePeers: !isAlone,
      }),
      countNodes: () => listNodes().length,
      transport: {
        leaseQuota: (url, request) => this.cluster.call(this, url, request),
      },
      onEvent: (team, event, amount) =>
        this.cluster.countEvent(team, event, amount),
      suspensionToleranceMilliseconds: 300,
      random: () => this.cluster.random(),
      logger: silentLogger(),
    });
  }

  toClusterNode(): ClusterNode {
    return {
      identity: this.identity,
      name: `node-${this.index}`,
      peerUrl: this.peerUrl,
      region: 'region',
      failureDomain: 'domain',
      state: NodeState.READY,
      catalogueRevision: 1,
      plannerEpoch: 0,
      protocolLevel: ProtocolLevel.TEAMS,
    };
  }
}

/** Nodes that share the quotas of teams, on a simulated network. */
export class QuotaCluster {
  readonly nodes: QuotaNode[] = [];
  readonly admitted: AdmittedUnits[] = [];
  callCount = 0;
  configuration: ServingConfiguration;
  private readonly events = new Map<string, number>();
  private seed = 1;
  private changedAtMilliseconds = -Infinity;
  private elapsedMilliseconds = 0;

  /** @param advance advances the paused clock and runs what is due. */
  constructor(
    readonly nodeCount: number,
    teams: readonly SimulatedTeam[],
    private readonly advance: (milliseconds: number) => Promise<void>,
  ) {
    this.configuration = createQuotaConfiguration(1, teams);
    for (let index = 0; index < nodeCount; index += 1)
      this.nodes.push(new QuotaNode(this, index));
    for (const node of this.nodes) {
      node.links = this.nodes.map(() => ({
        isUp: true,
        changedAtMilliseconds: -Infinity,
        wasVisible: true,
      }));
    }
  }

  /** Uniform in [0, 1); the same in each run. */
  random(): number {
    this.seed = (this.seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return this.seed / 2_147_483_648;
  }

  /** Units of a team that events of this kind moved, over all nodes. */
  eventUnits(team: string, event: string): number {
    return this.events.get(`${team} ${event}`) ?? 0;
  }

  countEvent(team: string, event: string, amount: number): void {
    const key = `${team} ${event}`;
    this.events.set(key, (this.events.get(key) ?? 0) + amount);
  }

  /** Other nodes as this one knows them; read again as `ClusterView` does. */
  visibleFrom(node: QuotaNode): readonly ClusterNode[] {
    const now = performance.now();
    const {view} = node;
    const isFinal = view.atMilliseconds > this.changedAtMilliseconds + SETTLED;
    if (isFinal || now - view.atMilliseconds < VIEW_MILLISECONDS)
      return view.nodes;
    const visible = this.nodes.filter(
      other =>
        other !== node && isVisible(node, other, node.links[other.index], now),
    );
    const nodes = [node, ...visible].map(item => item.toClusterNode());
    node.view = {nodes, atMilliseconds: now};
    return nodes;
  }

  /** The nodes that issue a team's quota, as the first node chooses them. */
  issuerIdentities(team: string): string[] {
    const nodes = this.visibleFrom(this.nodes[0]);
    return chooseIssuers(nodes, `quota/${team}`, 2).map(
      ({identity}) => identity,
    );
  }

  /** Cuts the nodes into parts, which notice it after a while. */
  partition(partOf: (node: QuotaNode) => number): void {
    for (const node of this.nodes) node.part = partOf(node);
    this.updateLinks();
  }

  /** Stops a process for a time; its monotonic clock goes on. */
  freeze(node: QuotaNode, milliseconds: number): void {
    node.isFrozen = true;
    this.updateLinks();
    setTimeout(() => {
      node.isFrozen = false;
      this.updateLinks();
    }, milliseconds);
  }

  /** Kills processes; new ones take their place at once. */
  restart(nodes: readonly QuotaNode[]): void {
    const now = performance.now();
    this.changedAtMilliseconds = now;
    for (const node of nodes) {
      node.restart();
      for (const other of this.nodes) {
        const link = {
          isUp: this.areConnected(node, other),
          changedAtMilliseconds: now,
          wasVisible: false,
        };
        node.links[other.index] = {...link};
        other.links[node.index] = {...link, wasVisible: link.isUp};
      }
    }
    if (nodes.length < this.nodes.length) return;
    for (const node of nodes)
      for (const link of node.links) link.wasVisible = false;
  }

  /** Changes limits; nodes apply the configuration one after another. */
  setTeams(teams: readonly SimulatedTeam[]): void {
    const {version} = this.configuration;
    const configuration = createQuotaConfiguration(version + 1, teams);
    this.configuration = configuration;
    for (const node of this.nodes)
      setTimeout(() => {
        if (node.configuration.version < configuration.version)
          node.configuration = configuration;
      }, this.random() * APPLY_MILLISECONDS);
  }

  areConnected(from: QuotaNode, to: QuotaNode): boolean {
    return from.part === to.part && !from.isFrozen && !to.isFrozen;
  }

  /** Takes quota at a node; resolves to whether the request is admitted. */
  async take(node: QuotaNode, team: string, cost: number): Promise<boolean> {
    const taken = await node.take(team, cost);
    if (!taken.ok) return false;
    this.admitted.push({team, cost, atMilliseconds: performance.now()});
    return true;
  }

  async run(
    milliseconds: number,
    stepMilliseconds: number,
    onStep: () => void,
  ): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
      const slot = this.elapsedMilliseconds / stepMilliseconds;
      const period = UPDATE_MILLISECONDS / stepMilliseconds;
      for (const node of this.nodes)
        if ((slot + node.index) % period === 0) node.update();
      onStep();
      await this.advance(stepMilliseconds);
      this.elapsedMilliseconds += stepMilliseconds;
    }
  }

  async call(
    from: QuotaNode,
    peerUrl: string,
    request: LeaseQuotaRequest,
  ): Promise<Result<LeaseQuotaResponse, PeerError>> {
    const callee = this.nodes.find(node => node.peerUrl === peerUrl);
    this.callCount += 1;
    await pause(LATENCY_MILLISECONDS);
    if (!callee || !this.areConnected(from, callee)) {
      await pause(CALL_TIMEOUT_MILLISECONDS);
      return Err(new PeerError(peerUrl, 'no answer'));
    }
    const response = callee.quotas.handleClaims(request);
    await pause(LATENCY_MILLISECONDS);
    if (!this.areConnected(from, callee)) {
      await pause(CALL_TIMEOUT_MILLISECONDS);
      return Err(new PeerError(peerUrl, 'no answer'));
    }
    return Ok(create(LeaseQuotaResponseSchema, response));
  }

  private updateLinks(): void {
    const now = performance.now();
    this.changedAtMilliseconds = now;
    for (const node of this.nodes) {
      for (const other of this.nodes) {
        const link = node.links[other.index];
        const isUp = this.areConnected(node, other);
        if (link.isUp === isUp) continue;
        link.wasVisible = isVisible(node, other, link, now);
        link.isUp = isUp;
        link.changedAtMilliseconds = now;
      }
    }
  }
}

function isVisible(
  node: QuotaNode,
  other: QuotaNode,
  {isUp, wasVisible, changedAtMilliseconds}: Link,
  now: number,
): boolean {
  const passed = now - changedAtMilliseconds;
  const spread = ((node.index * 7_919 + other.index * 104_729) % 1_009) / 1_009;
  if (isUp)
    return (
      wasVisible ||
      passed >= LEAST_GAIN_MILLISECONDS + spread * GAIN_SPREAD_MILLISECONDS
    );
  return (
    wasVisible &&
    passed < LEAST_LOSS_MILLISECONDS + spread * LOSS_SPREAD_MILLISECONDS
  );
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
