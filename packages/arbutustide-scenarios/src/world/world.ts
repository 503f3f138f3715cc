import type {CatalogueDocument} from '@arbutustide/catalogue';
import type {UpstreamConnector} from '@arbutustide/routing';
import type {EngineOptions} from '@arbutustide/stand-ins';
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
import {parseDocument} from '@arbutustide/settings';
import {
  DEFAULT_ENGINE_OPTIONS,
  EngineModel,
  HostTable,
  ObjectTable,
  ServiceModel,
} from '@arbutustide/stand-ins';
import {NodeMetrics, silentLogger} from '@arbutustide/telemetry';
import {HostKind, HostState} from '@arbutustide/upstream';
import {install} from '@sinonjs/fake-timers';
import seedrandom from 'seedrandom';

import {freezeTemporarily, SimulatedNetwork} from './simulated_network.js';
import {CallerEnd, sendRequest} from './simulated_caller.js';
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

/** An operator's edit and what the operator was told. */
export interface RecordedEdit {
  readonly revision: number;
  readonly isAccepted: boolean;
}

/**
 * Nodes, platform and callers in one process on a paused clock. The nodes are
 * the real packages; what is outside them are the stand-ins' models.
 */
export class World {
  readonly table = new ObjectTable();
  readonly hostTable: HostTable;
  readonly network: SimulatedNetwork;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly replacedNodes: SimulatedNode[] = [];
  readonly engines = new Map<string, SimulatedHost<EngineModel>>();
  readonly services = new Map<string, SimulatedHost<ServiceModel>>();
  readonly outcomes: CallerOutcome[] = [];
  readonly edits: RecordedEdit[] = [];
  /** When each upstream was said to leave, by the monotonic clock. */
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
    this.hostTable = new HostTable(HOST_LIST_LAG_MILLISECONDS);
    this.network = new SimulatedNetwork({
      crashEndpoint: name => this.crash(name),
      freezePlanner: () => this.freezePlanner(),
    });
  }

  /** Gives the real clock back. */
  close(): void {
    for (const node of this.nodes.values()) node.process.kill();
    globalThis.setTimeout = this.realSetTimeout;
    this.clock.uninstall();
  }

  /** Lets time pass. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.tickAsync(milliseconds);
  }

  /** Lets time pass until a condition holds. */
  async advanceUntil(
    what: string,
    holds: () => boolean,
    milliseconds = DEFAULT_WAIT_LIMIT_MILLISECONDS,
  ): Promise<void> {
    for (let waited = 0; !holds(); waited += CLOCK_STEP_MILLISECONDS) {
      invariant(waited < milliseconds, `not in time: ${what}`);
      await this.advance(CLOCK_STEP_MILLISECONDS);
    }
  }

  /** Adds an engine to the platform. */
  addEngine(
    id: string,
    failureDomain: string,
    options: Partial<EngineOptions> = {},
  ): void {
    const merged = {...DEFAULT_ENGINE_OPTIONS, ...options};
    const model = new EngineModel(merged, () => this.restartUpstream(id));
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
    const model = new ServiceModel({
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

  /** Starts a node; a name used before is a new process at its address. */
  startNode(name: string, failureDomain: string): SimulatedNode {
    this.nodeStartCount += 1;
    const process = new SimulatedProcess(name);
    const peerUrl = `sim://${name}`;
    const core = process.run(() =>
      createNodeCore({
        settings: nodeSettings(name, failureDomain),
        identity: {identity: `${name}#${this.nodeStartCount}`, peerUrl},
        store: new SimulatedStore(this.table, this.network, process),
        hostList: new SimulatedHostList(this.hostTable, this.network, process),
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
    const former = this.nodes.get(name);
    if (former) this.replacedNodes.push(former);
    this.nodes.set(name, node);
    void process.run(() => core.start());
    this.updateHostList({
      id: name,
      kind: HostKind.ENTRY,
      url: peerUrl,
      region: REGION,
      failureDomain,
      state: HostState.LIVE,
      checksFencing: false,
    });
    return node;
  }

  /** Changes or adds a host of the platform's list. */
  updateHostList(host: PlatformHost): void {
    this.listedHosts.set(host.id, host);
    this.hostTable.put(host);
  }

  /** A node by its name. */
  node(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    invariant(node !== undefined, `there is no node ${name}`);
    return node;
  }

  /** Nodes whose process lives. */
  liveNodes(): SimulatedNode[] {
    return [...this.nodes.values()].filter(
      ({process}) => process.state !== ProcessState.DEAD,
    );
  }

  /** Sends a request and goes on; its outcome is recorded. */
  send(nodeName: string, request: SimulatedRequest): CallerOutcome {
    const node = this.node(nodeName);
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
      outcome.end = CallerEnd.CONNECTION_LOST;
      return outcome;
    }
    node.requestsInFlight += 1;
    void sendRequest(node, request, outcome).finally(() => {
      node.requestsInFlight -= 1;
    });
    return outcome;
  }

  /** Asks a node to stop; requests in flight must not be cut off. */
  stopNode(name: string): void {
    const node = this.node(name);
    for (const outcome of this.outcomes) {
      if (outcome.nodeName === name && !outcome.end)
        outcome.wasNodeAskedToStop = true;
    }
    void node.process.run(() => node.stop());
  }

  /** Takes an upstream or node down; an upstream starts again by itself. */
  crash(name: string): void {
    const engine = this.engines.get(name);
    const service = this.services.get(name);
    engine?.model.crash();
    service?.model.crash();
    if (engine || service) this.restartUpstream(name);
    else this.nodes.get(name)?.process.kill();
  }

  /** Says that an upstream leaves, by its own word. */
  leave(upstreamId: string): void {
    const host = this.engines.get(upstreamId) ?? this.services.get(upstreamId);
    invariant(host !== undefined, `there is no upstream ${upstreamId}`);
    host.model.isLeaving = true;
    this.leavingSinceMilliseconds.set(upstreamId, performance.now());
  }

  /** Says that a host leaves, by the platform's list, which lags. */
  listAsLeaving(hostId: string): void {
    const host = this.listedHosts.get(hostId);
    invariant(host !== undefined, `${hostId} is not listed`);
    this.updateHostList({...host, state: HostState.LEAVING});
    this.leavingSinceMilliseconds.set(
      hostId,
      performance.now() + HOST_LIST_LAG_MILLISECONDS,
    );
  }

  /** Applies a catalogue as an operator; the edit is recorded. */
  async apply(
    toml: string,
    operator = new SimulatedProcess('operator'),
    baseRevision = this.acceptedRevision(),
  ): Promise<boolean> {
    const document = parseDocument(toml, 'scenario', catalogueSchema);
    invariant(document.ok, String(document.val));
    const writing = operator.run(() =>
      this.acceptEdit(document.val, operator, baseRevision),
    );
    const died = new Promise<boolean>(resolve => {
      operator.onDeath(() => resolve(false));
    });
    return Promise.race([writing, died]);
  }

  /** Revision of the head in the store; zero before the first. */
  acceptedRevision(): number {
    const head = this.table.get(HEAD_KEY);
    return head.ok ? headSchema.parse(head.val.value).revision : 0;
  }

  /** Freezes the process that holds the planner's lease. */
  freezePlanner(): void {
    const planner = this.planner();
    if (planner) freezeTemporarily(planner.process);
  }

  /** The node that holds the planner's lease, if any. */
  planner(): SimulatedNode | undefined {
    return this.liveNodes().find(({core}) => core.lease.isHeld);
  }

  /** Ends every fault: links, outages, frozen processes and dead nodes. */
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
    const store = new SimulatedStore(this.table, this.network, operator);
    const accepted = await new CatalogueStore(store).accept({
      document,
      baseRevision,
      author: operator.name,
      time: new Date().toISOString(),
      writeId: `${operator.name}-${this.edits.length}-${this.random()}`,
    });
    const revision = accepted.ok ? accepted.val.revision : baseRevision;
    this.edits.push({revision, isAccepted: accepted.ok});
    return accepted.ok;
  }

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
      known => known.peerUrl === peerUrl,
    );
    return node && {process: node.process, handler: node.core};
  }

  private createConnector(process: SimulatedProcess): UpstreamConnector {
    return {
      engine: ({id}) => {
        const host = this.engines.get(id);
        invariant(host !== undefined, `there is no engine ${id}`);
        return new SimulatedEngine(host, this.network, process);
      },
      service: ({id}) => {
        const host = this.services.get(id);
        invariant(host !== undefined, `there is no service ${id}`);
        return new SimulatedService(host, this.network, process);
      },
    };
  }
}
