import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';
import type {ServiceOrder} from '../../proxy/queue/service_order.js';
import type {RequestTeam} from '../../proxy/routed_request.js';
import type {Route} from '../../proxy/route.js';

import {Cancellation} from '@arbutustide/errors';

import {chooseUpstream, NoUpstreamReason} from '../../proxy/choose_upstream.js';
import {DemandCounter} from '../../proxy/demand_counter.js';
import {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import {CompetingRequests} from '../../proxy/queue/competing_requests.js';
import {EarlyRefusal} from '../../proxy/queue/early_refusal.js';
import {HoldBack} from '../../proxy/queue/hold_back.js';
import {Standing} from '../../proxy/queue/queue_position.js';
import {expectedWaitMilliseconds} from '../../proxy/queue/expected_wait.js';
import {SlotHoldTimes} from '../../proxy/queue/slot_hold_times.js';
import {effectivePriority} from '../../proxy/routed_request.js';
import {SlotQueue} from '../../proxy/slot_queue.js';
import {
  testDescription,
  testModelRequest,
  testRequest,
} from './proxy_fixtures.js';

/** Interval at which nodes learn what their peers publish. */
const GOSSIP_MILLISECONDS = 700;
/** As the nodes' own interval for queued requests. */
const QUEUE_CHECK_MILLISECONDS = 100;
const MINIMUM_SERVICE_MILLISECONDS = 20;
/** Callers honour a retry-after of at most this share of their time. */
const HONOURED_SHARE = 1 / 3;

/** What one caller got. */
export interface CallerResult {
  readonly route: Route;
  readonly team: string | undefined;
  readonly arrivedAt: number;
  /** Time until an upstream began to run it, over all attempts; if one did. */
  readonly slotAfterMilliseconds: number | undefined;
  /** Time until the last refusal, if it got none. */
  readonly lostAfterMilliseconds: number | undefined;
  /** Refusals that the caller got although a slot was free. */
  readonly needlessRefusals: number;
}

/** A request as its caller sends it. */
export interface CallerRequest {
  readonly route: Route;
  readonly model?: string;
  readonly team?: RequestTeam;
  /** Time from arrival to the deadline. */
  readonly deadlineMilliseconds: number;
  readonly holdMilliseconds: number;
  /** Index of the node that it is sent to first; at random if absent. */
  readonly node?: number;
}

/** Size of a cluster and the parts of the queue that are in use. */
export interface QueueClusterSettings {
  readonly nodes: number;
  readonly slots: number;
  /** Models that each upstream holds; the upstreams of a plain service none. */
  readonly heldModels: readonly (readonly string[])[];
  readonly random: () => number;
  readonly hasEarlyRefusal: boolean;
  /** Undefined to serve by priority and then deadline. */
  readonly createOrder?: () => ServiceOrder;
  readonly hasHoldBack?: boolean;
}

/** An upstream with a queue for what it cannot run yet. */
class SimulatedUpstream {
  running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(
    readonly slots: number,
    readonly models: readonly string[],
  ) {}

  get load() {
    const {running, slots} = this;
    return {running, waiting: this.waiting.length, slots};
  }

  async run(holdMilliseconds: number, onBegin: () => void): Promise<void> {
    if (this.running >= this.slots)
      await new Promise<void>(resolve => this.waiting.push(resolve));
    this.running += 1;
    onBegin();
    await new Promise(resolve => setTimeout(resolve, holdMilliseconds));
    this.running -= 1;
    this.waiting.shift()?.();
  }
}

/** The queue of one node with its view of upstreams and peers. */
class SimulatedNode {
  readonly demand = new DemandCounter();
  readonly upstreams: ProxyUpstream[];
  readonly queue: SlotQueue;
  peerDemands = new Map<string, {queuedByPriority: number[]}>();
  private readonly holdTimes = new SlotHoldTimes();

  constructor(settings: QueueClusterSettings) {
    const {heldModels, slots, random, hasEarlyRefusal} = settings;
    this.upstreams = heldModels.map(
      (models, index) =>
        new ProxyUpstream(
          testDescription({
            id: `upstream-${index}`,
            slots,
            models: models.map(name => ({name, version: 1, adapters: []})),
          }),
        ),
    );
    const order = settings.createOrder?.();
    const holdBack = new HoldBack({
      peerDemand: entryName => this.peerDemands.get(entryName),
      isEnabled: () => true,
      isFavoured: progress => order?.standingOf(progress) === Standing.FAVOURED,
    });
    this.queue = new SlotQueue({
      chooseUpstream: progress => {
        const {request, triedUpstreams} = progress;
        const choice = chooseUpstream(
          this.upstreams,
          request.modelRequest,
          triedUpstreams,
          {
            ownFailureDomain: 'near',
            priceShare: 0.2,
            fullShare: 1,
            random,
          },
        );
        if (choice === NoUpstreamReason.FULL) holdBack.recordFull(progress);
        else if (
          choice instanceof ProxyUpstream &&
          settings.hasHoldBack &&
          holdBack.withholds(progress, this.upstreams, 1)
        )
          return NoUpstreamReason.FULL;
        return choice;
      },
      predictWaitMilliseconds: () => MINIMUM_SERVICE_MILLISECONDS,
      minimumServiceMilliseconds: () => MINIMUM_SERVICE_MILLISECONDS,
      onNotHeld: () => {},
      observer: this.demand,
      order,
      earlyRefusal: hasEarlyRefusal
        ? this.createEarlyRefusal(random)
        : undefined,
      onSlotReturned: ({service}, heldMilliseconds, upstream) => {
        this.holdTimes.record(service, heldMilliseconds);
        holdBack.recordReturned(upstream);
      },
    });
  }

  private createEarlyRefusal(random: () => number): EarlyRefusal {
    const competing = new CompetingRequests({
      listOwnQueued: () => this.demand.queuedByPriority(),
      listPeerDemands: () => this.peerDemands,
    });
    return new EarlyRefusal({
      random,
      expectedWaitMilliseconds: ({request}, position) => {
        const {service, modelRequest} = request;
        const holdMilliseconds = this.holdTimes.meanMilliseconds(service);
        if (holdMilliseconds === undefined) return undefined;
        return expectedWaitMilliseconds({
          upstreams: this.upstreams,
          reference: modelRequest,
          holdMilliseconds,
          fullShare: 1,
          ahead: position.ahead,
          competing: competing.list({
            service,
            model: modelRequest?.model,
            priority: effectivePriority(request),
            position,
          }),
        });
      },
    });
  }
}

/**
 * Nodes with the real queue, upstreams that run requests for a given time, and
 * callers that come back on another node when told to. The clock must be paused.
 */
export class QueueCluster {
  readonly results: CallerResult[] = [];
  private readonly upstreams: SimulatedUpstream[];
  private readonly nodes: SimulatedNode[];

  constructor(private readonly settings: QueueClusterSettings) {
    const {heldModels, slots, nodes} = settings;
    this.upstreams = heldModels.map(
      models => new SimulatedUpstream(slots, models),
    );
    this.nodes = Array.from({length: nodes}, () => new SimulatedNode(settings));
    setInterval(() => this.exchange(), GOSSIP_MILLISECONDS);
    setInterval(() => {
      for (const {queue} of this.nodes) queue.scheduleScan();
    }, QUEUE_CHECK_MILLISECONDS);
  }

  /** Plays one caller, who comes back to nodes chosen at random. */
  async call(caller: CallerRequest): Promise<void> {
    const arrivedAt = performance.now();
    const {route, team, deadlineMilliseconds} = caller;
    const deadlineAt = arrivedAt + deadlineMilliseconds;
    const results = {route, team: team?.name, arrivedAt};
    let needlessRefusals = 0;
    let node = this.chooseNode(caller.node);
    for (;;) {
      const progress = createProgress(caller, deadlineAt);
      const slot = await node.queue.acquireSlot(progress);
      const elapsed = performance.now() - arrivedAt;
      if (slot.ok) {
        await this.run(slot.val, caller, () =>
          this.results.push({
            ...results,
            slotAfterMilliseconds: performance.now() - arrivedAt,
            lostAfterMilliseconds: undefined,
            needlessRefusals,
          }),
        );
        return;
      }
      if (this.isFree(caller)) needlessRefusals += 1;
      const left =
        Math.min(deadlineMilliseconds, route.callerTimeoutMilliseconds) -
        elapsed;
      const {retryAfterMilliseconds = Infinity} = slot.val;
      if (retryAfterMilliseconds > HONOURED_SHARE * left) {
        this.results.push({
          ...results,
          slotAfterMilliseconds: undefined,
          lostAfterMilliseconds: elapsed,
          needlessRefusals,
        });
        return;
      }
      await new Promise(resolve => setTimeout(resolve, retryAfterMilliseconds));
      node = this.chooseNode();
    }
  }

  private async run(
    slot: {
      readonly upstream: ProxyUpstream;
      readonly admission: {settle(isRejected: boolean): void};
      release(): void;
    },
    {holdMilliseconds}: CallerRequest,
    onBegin: () => void,
  ): Promise<void> {
    const index = Number(slot.upstream.id.split('-')[1]);
    const upstream = this.upstreams[index];
    await upstream.run(holdMilliseconds, () => {
      slot.admission.settle(false);
      slot.upstream.recordReportedLoad(upstream.load);
      onBegin();
    });
    slot.release();
  }

  private chooseNode(
    index = Math.floor(this.settings.random() * this.nodes.length),
  ): SimulatedNode {
    return this.nodes[index];
  }

  private isFree({model}: CallerRequest): boolean {
    return this.upstreams.some(
      ({running, slots, models}) =>
        running < slots && (model === undefined || models.includes(model)),
    );
  }

  /** Gives each node what the others publish. */
  private exchange(): void {
    for (const node of this.nodes) {
      const peers = this.nodes.filter(peer => peer !== node);
      for (const [index, upstream] of node.upstreams.entries()) {
        upstream.peersInFlight = peers.reduce(
          (sum, peer) => sum + peer.upstreams[index].publishedInFlight,
          0,
        );
      }
      node.peerDemands = sumDemands(peers);
    }
  }
}

function sumDemands(peers: readonly SimulatedNode[]) {
  const sums = new Map<string, {queuedByPriority: number[]}>();
  for (const {demand} of peers) {
    for (const [entry, counts] of demand.queuedByPriority()) {
      const sum = sums.get(entry) ?? {queuedByPriority: []};
      for (const [index, count] of counts.entries()) {
        sum.queuedByPriority[index] =
          (sum.queuedByPriority[index] ?? 0) + count;
      }
      sums.set(entry, sum);
    }
  }
  return sums;
}

/** What a node keeps of a request that has just arrived. */
export function createProgress(
  {route, model, team}: CallerRequest,
  deadlineAtMilliseconds: number,
): RoutedRequestProgress {
  return {
    request: testRequest({
      route,
      team,
      modelRequest: model === undefined ? undefined : testModelRequest(model),
      deadlineAtMilliseconds,
    }),
    cancellation: new Cancellation(),
    fingerprint: 'fingerprint',
    triedUpstreams: new Set(),
    triedPeers: new Set(),
    isRelayed: false,
    attempts: 0,
    mayHaveRun: false,
    hasStreamBegun: false,
    isAnsweredWhole: false,
    origin: undefined,
    lastDeliveryAtMilliseconds: performance.now(),
  };
}
