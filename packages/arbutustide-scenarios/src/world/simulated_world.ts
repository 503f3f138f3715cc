import type {CatalogueDocument} from '@arbutustide/catalogue';
import type {UpstreamConnector} from '@arbutustide/routing';
import type {StandInEngineOptions} from '@arbutustide/stand-ins';
import type {PlatformHost} from '@arbutustide/upstream';

import type {CallerOutcome, SimulatedRequest} from './simulated_caller.js';
import type {SimulatedHost} from './simulated_upstreams.js';

import {
  catalogueSchema,
  CatalogueStore,
  headSchema,
  HEAD_KEY,
} from '@arbutustide/catalogue';
import {delay, invariant} from '@arbutustide/errors';
import {createNodeCore} from '@arbutustide/node';
import {parseTomlDocument} from '@arbutustide/settings';
import {
  DEFAULT_ENGINE_OPTIONS,
  StandInEngine,
  LaggedHostList,
  ObjectTable,
  StandInService,
} from '@arbutustide/stand-ins';
import {NodeMetrics, silentLogger} from '@arbutustide/telemetry';
import {HostKind, HostState} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import seedrandom from 'seedrandom';

import {freezeTemporarily, SimulatedNetwork} from './simulated_network.js';
import {RequestEnd, sendSimulatedRequest} from './simulated_caller.js';
import {SimulatedNode} from './simulated_node.js';
import {
  bindTimersToProcesses,
  ProcessState,
  SimulatedProcess,
} from './simulated_process.js';
import {SimulatedStore} from './simulated_store.js';
import {SimulatedPeerTransport} from './simulated_peer_transport.js';
import {
  SimulatedEngine,
  SimulatedHostList,
  SimulatedService,
} from './simulated_upstreams.js';
import {nodeSettings, REGION} from './world_settings.js';

const HOST_LIST_LAG_MILLISECONDS = 3_000;
const UPSTREAM_RESTART_DELAY_MILLISECONDS = 3_000;
const SERVICE_CALL_DURATION_MILLISECONDS = 100;
const CLOCK_STEP_MILLISECONDS = 50;
const DEFAULT_WAIT_LIMIT_MILLISECONDS = 60_000;

/** A catalogue edit by an operator, and whether it was accepted. */
export interface RecordedEdit {
  readonly revision: number;
  readonly isAccepted: boolean;
}

/**
 * Simulates nodes, platform and callers in one process on a fake clock. The
 * nodes run the production code; stand-ins replace the platform.
 */
export class SimulatedWorld {
  readonly objectTable = new ObjectTable();
  readonly laggedHostList: LaggedHostList;
  readonly network: SimulatedNetwork;
  readonly nodes = new Map<string, SimulatedNode>();
  /** Nodes whose name was taken over by a new process. */
  readonly replacedNodes: SimulatedNode[] = [];
  readonly engines = new Map<string, SimulatedHost<StandInEngine>>();
  readonly services = new Map<string, SimulatedHost<StandInService>>();
  /** All requests, in the order in which they were sent. */
  readonly outcomes: CallerOutcome[] = [];
  readonly edits: RecordedEdit[] = [];
  /** Monotonic time from which each leaving upstream is known to be leaving. */
  readonly leavingSinceMilliseconds = new Map<string, number>();
  private readonly clock: ReturnType<typeof install>;
  private readonly realSetTimeout: typeof globalThis.setTimeout;
  private readonly random: () => number;
  private readonly listedHosts = new Map<string, PlatformHost>();
  private nodeStartCount = 0;

  constructor(seed: number) {
    this.realSetTimeout = globalThis.setTimeout;
    this.clock = install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
    bindTimersToProcesses();
    this.random = seedrandom(String(seed));
    this.laggedHostList = new LaggedHostList(HOST_LIST_LAG_MILLISECONDS);
    this.network = new SimulatedNetwork({
      crashEndpoint: name => this.crashEndpoint(name),
      freezePlanner: () => this.freezePlanner(),
    });
  }

  /** Kills all nodes and restores the real clock. */
  close(): void {
    for (const node of this.nodes.values()) node.process.kill();
    globalThis.setTimeout = this.realSetTimeout;
    this.clock.uninstall();
  }

  /** Advances the fake clock and runs all timers that become due. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.tickAsync(milliseconds);
  }

  /**
   * Advances the clock until a condition holds.
   *
   * @throws Error if the condition does not hold within `milliseconds`.
   */
  async advanceUntil(
    description: string,
    condition: () => boolean,
    milliseconds = DEFAULT_WAIT_LIMIT_MILLISECONDS,
  ): Promise<void> {
    for (let waited = 0; !condition(); waited += CLOCK_STEP_MILLISECONDS) {
      invariant(
        waited < milliseconds,
        `condition not met in time: ${description}`,
      );
      await this.advance(CLOCK_STEP_MILLISECONDS);
    }
  }

  /** Adds an engine to the platform. */
  addEngine(
    id: string,
    failureDomain: string,
    options: Partial<StandInEngineOptions> = {},
  ): void {
    const merged = {...DEFAULT_ENGINE_OPTIONS, ...options};
    const model = new StandInEngine(merged, () => this.restartUpstream(id));
    this.engines.set(id, {id, model, isUp: true});
    this.updateHostList({
      id,
      kind: HostKind.ENGINE,
      url: `sim://${id}`,
      region: REGION,
      failureDomain,
      state: HostState.LIVE,
      checksFencing: merged.checksFencing,
    });
  }

  /** Adds a host of a plain service to the platform. */
  addService(id: string, group: string, failureDomain: string): void {
    const model = new StandInService({
      callMilliseconds: SERVICE_CALL_DURATION_MILLISECONDS,
    });
    this.services.set(id, {id, model, isUp: true});
    this.updateHostList({
      id,
      kind: HostKind.SERVICE,
      url: `sim://${id}`,
      region: REGION,
      failureDomain,
      state: HostState.LIVE,
      group,
      checksFencing: false,
    });
  }

  /** Starts a node. A name used before gets a new process at its address. */
  startNode(name: string, failureDomain: string): SimulatedNode {
    this.nodeStartCount += 1;
    const process = new SimulatedProcess(name);
    const peerUrl = `sim://${name}`;
    const core = process.run(() =>
      createNodeCore({
        settings: nodeSettings(name, failureDomain),
        identity: {identity: `${name}#${this.nodeStartCount}`, peerUrl},
        store: new SimulatedStore(this.objectTable, this.network, process),
        hostList: new SimulatedHostList(
          this.laggedHostList,
          this.network,
          process,
        ),
        connector: this.createConnector(process),
        transport: new SimulatedPeerTransport(
          url => this.findPeerEndpoint(url),
          this.network,
          process,
        ),
        logger: silentLogger(),
        metrics: new NodeMetrics(),
        random: this.random,
      }),
    );
    const node = new SimulatedNode(name, failureDomain, peerUrl, process, core);
    const predecessor = this.nodes.get(name);
    if (predecessor) this.replacedNodes.push(predecessor);
    this.nodes.set(name, node);
    void process.run(() => core.start());
    this.updateHostList({
      id: name,
      kind: HostKind.ENTRY_NODE,
      url: peerUrl,
      region: REGION,
      failureDomain,
      state: HostState.LIVE,
      checksFencing: false,
    });
    return node;
  }

  /** Adds a host to the platform's host list, or replaces it there. */
  updateHostList(host: PlatformHost): void {
    this.listedHosts.set(host.id, host);
    this.laggedHostList.upsert(host);
  }

  /** Returns the node of this name, or throws if there is none. */
  getNode(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    invariant(node !== undefined, `unknown node ${name}`);
    return node;
  }

  /** Returns the nodes whose process is not dead. */
  liveNodes(): SimulatedNode[] {
    return [...this.nodes.values()].filter(
      ({process}) => process.state !== ProcessState.DEAD,
    );
  }

  /** Sends a request without waiting; records its outcome in `outcomes`. */
  sendRequest(nodeName: string, request: SimulatedRequest): CallerOutcome {
    const node = this.getNode(nodeName);
    const outcome: CallerOutcome = {
      request,
      nodeName,
      end: undefined,
      refusal: undefined,
      status: undefined,
      body: '',
      wasNodeAskedToStop: false,
    };
    this.outcomes.push(outcome);
    if (!node.isListening || node.process.state === ProcessState.DEAD) {
      outcome.end = RequestEnd.CONNECTION_LOST;
      return outcome;
    }
    node.requestsInFlight += 1;
    void sendSimulatedRequest(node, request, outcome).finally(() => {
      node.requestsInFlight -= 1;
    });
    return outcome;
  }

  /** Asks a node to stop, which must not cut off its requests in flight. */
  stopNode(name: string): void {
    const node = this.getNode(name);
    for (const outcome of this.outcomes) {
      if (outcome.nodeName === name && !outcome.end)
        outcome.wasNodeAskedToStop = true;
    }
    void node.process.run(() => node.stop());
  }

  /** Crashes an upstream or node; an upstream restarts by itself. */
  crashEndpoint(name: string): void {
    const engine = this.engines.get(name);
    const service = this.services.get(name);
    engine?.model.crash();
    service?.model.crash();
    if (engine || service) this.restartUpstream(name);
    else this.nodes.get(name)?.process.kill();
  }

  /** Makes an upstream report that it is leaving. */
  announceLeaving(upstreamId: string): void {
    const host = this.engines.get(upstreamId) ?? this.services.get(upstreamId);
    invariant(host !== undefined, `unknown upstream ${upstreamId}`);
    host.model.isLeaving = true;
    this.leavingSinceMilliseconds.set(upstreamId, performance.now());
  }

  /** Marks a host as leaving in the host list, which reaches nodes with a lag. */
  listAsLeaving(hostId: string): void {
    const host = this.listedHosts.get(hostId);
    invariant(host !== undefined, `${hostId} is not in the host list`);
    this.updateHostList({...host, state: HostState.LEAVING});
    this.leavingSinceMilliseconds.set(
      hostId,
      performance.now() + HOST_LIST_LAG_MILLISECONDS,
    );
  }

  /**
   * Applies a catalogue as an operator and records the edit. Resolves to whether
   * it was accepted, or to false if the operator's process dies.
   */
  async applyCatalogue(
    toml: string,
    operator = new SimulatedProcess('operator'),
    baseRevision = this.acceptedRevision(),
  ): Promise<boolean> {
    const document = parseTomlDocument(toml, 'scenario', catalogueSchema);
    invariant(document.ok, String(document.val));
    const acceptance = operator.run(() =>
      this.acceptEdit(document.val, operator, baseRevision),
    );
    const died = new Promise<boolean>(resolve => {
      operator.onDeath(() => resolve(false));
    });
    return Promise.race([acceptance, died]);
  }

  /** Returns the revision of the stored head, or 0 before the first one. */
  acceptedRevision(): number {
    const head = this.objectTable.get(HEAD_KEY);
    return head.ok ? headSchema.parse(head.val.value).revision : 0;
  }

  /** Temporarily freezes the node that holds the planner lease, if any. */
  freezePlanner(): void {
    const planner = this.findPlanner();
    if (planner) freezeTemporarily(planner.process);
  }

  /** Returns the live node that holds the planner lease, if any. */
  findPlanner(): SimulatedNode | undefined {
    return this.liveNodes().find(({core}) => core.plannerLease.isHeld);
  }

  /** Ends all faults: restores the network, thaws and restarts nodes. */
  heal(): void {
    this.network.heal();
    for (const node of [...this.nodes.values()]) {
      node.process.thaw();
      const isDead = node.process.state === ProcessState.DEAD;
      if (isDead) this.startNode(node.name, node.failureDomain);
    }
  }

  private async acceptEdit(
    document: CatalogueDocument,
    operator: SimulatedProcess,
    baseRevision: number,
  ): Promise<boolean> {
    const store = new SimulatedStore(this.objectTable, this.network, operator);
    const result = await new CatalogueStore(store).acceptEdit({
      document,
      baseRevision,
      author: operator.name,
      time: new Date().toISOString(),
      writeId: `${operator.name}-${this.edits.length}-${this.random()}`,
    });
    const revision = result.ok ? result.val.revision : baseRevision;
    this.edits.push({revision, isAccepted: result.ok});
    return result.ok;
  }

  /** Takes an upstream down for `UPSTREAM_RESTART_DELAY_MILLISECONDS`. */
  private restartUpstream(upstreamId: string): void {
    const host = this.engines.get(upstreamId) ?? this.services.get(upstreamId);
    if (!host) return;
    host.isUp = false;
    void delay(UPSTREAM_RESTART_DELAY_MILLISECONDS).then(() => {
      host.isUp = true;
    });
  }

  private findPeerEndpoint(peerUrl: string) {
    const node = [...this.nodes.values()].find(
      candidate => candidate.peerUrl === peerUrl,
    );
    return node && {process: node.process, handler: node.core};
  }

  private createConnector(process: SimulatedProcess): UpstreamConnector {
    return {
      engine: ({id}) => {
        const host = this.engines.get(id);
        invariant(host !== undefined, `unknown engine ${id}`);
        return new SimulatedEngine(host, this.network, process);
      },
      service: ({id}) => {
        const host = this.services.get(id);
        invariant(host !== undefined, `unknown service ${id}`);
        return new SimulatedService(host, this.network, process);
      },
    };
  }
}
