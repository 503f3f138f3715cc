import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import seedrandom from 'seedrandom';

import {chooseUpstream} from '../../proxy/choose_upstream.js';
import {testUpstream} from './proxy_fixtures.js';

/** Nodes, engines and demand of one run. */
export interface SharedEnginesSettings {
  readonly seed: string;
  readonly nodeCount: number;
  readonly engineCount: number;
  readonly slots: number;
  readonly failureDomains: number;
  /** Engines that hold a model: from one up to this number; all if absent. */
  readonly maximumReplicas?: number;
  /** Part of the requests that come in at the first domain; equal if absent. */
  readonly firstDomainPart?: number;
  readonly requestsPerSecond: number;
  /** Time of a request at an idle engine, without reading its prompt. */
  readonly requestMilliseconds: number;
  /** Senders that the choice assumes; 1 makes it the global minimum. */
  readonly assumedSenders: number;
  /** Work time of an engine at a time, in per cent; 100 if absent. */
  readonly workPercent?: (engine: number, atMilliseconds: number) => number;
  /** Whether the engines tell their work time. */
  readonly isWorkTold?: boolean;
}

/** What a run has shown. */
export interface SharedEnginesResult {
  /** Arrivals at the engine with the most, by the mean of all. */
  readonly busiestShare: number;
  /** Requests that found all slots of their engine taken, as a share. */
  readonly overflowShare: number;
  /** 95th percentile of the time from sending to the end over the usual. */
  readonly slowdown95: number;
  /** Share of requests sent to another failure domain. */
  readonly crossDomainShare: number;
  /** Share of requests sent to engines that were slow at the time. */
  readonly slowShare: number;
  /** Part of the first domain's requests that left it, by second. */
  readonly leftBySecond: readonly number[];
  /** Shares that nodes of the first domain decided on in the last second. */
  readonly lastShares: readonly number[];
}

const STEP_MILLISECONDS = 10;
const GOSSIP_STEPS = 25;
/** Gossiped counts are 0.7 to 3 s old. */
const MINIMUM_LAG_MILLISECONDS = 700;
const MAXIMUM_LAG_MILLISECONDS = 3_000;
/** Time from sending a request until its head brings a load report. */
const HEAD_MILLISECONDS = 100;
const PERCENT = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const SLOW_FACTOR = 2;

interface Running {
  readonly node: number;
  readonly engine: number;
  readonly sentAt: number;
  readonly work: number;
  done: number;
  hasHead: boolean;
}

/** Own in-flight counts of all nodes, by node and engine, at one time. */
type Counts = readonly (readonly number[])[];

/**
 * Nodes that each choose by their own stale view among engines whose true load
 * they share. Time advances in steps on a paused clock.
 */
export class SharedEngines {
  private readonly random;
  private readonly views: ProxyUpstream[][];
  private readonly lags: number[];
  private readonly holders: number[][] = [];
  private readonly running: Running[] = [];
  private readonly truth: number[];
  private readonly arrivals: number[];
  private readonly slowdowns: number[] = [];
  private readonly history: Counts[] = [];
  private overflows = 0;
  private crossings = 0;
  private slowArrivals = 0;
  private readonly firstDomainBySecond: {sent: number; left: number}[] = [];
  private readonly shares: {readonly at: number; readonly share: number}[] = [];
  private now = 0;

  constructor(private readonly settings: SharedEnginesSettings) {
    const {seed, nodeCount, engineCount, slots} = settings;
    this.random = seedrandom(seed);
    this.truth = Array<number>(engineCount).fill(0);
    this.arrivals = Array<number>(engineCount).fill(0);
    this.views = Array.from({length: nodeCount}, () =>
      Array.from({length: engineCount}, (_item, engine) =>
        testUpstream(`engine-${engine}`, [], {
          slots,
          failureDomain: this.domainOf(engine),
        }),
      ),
    );
    this.lags = this.views.map(
      () =>
        MINIMUM_LAG_MILLISECONDS +
        this.random() * (MAXIMUM_LAG_MILLISECONDS - MINIMUM_LAG_MILLISECONDS),
    );
    this.placeModels();
  }

  /** @param tick advances the paused clock. */
  run(
    seconds: number,
    tick: (milliseconds: number) => void,
  ): SharedEnginesResult {
    const steps = (seconds * 1_000) / STEP_MILLISECONDS;
    for (let step = 0; step < steps; step += 1) {
      tick(STEP_MILLISECONDS);
      this.now += STEP_MILLISECONDS;
      if (step % GOSSIP_STEPS === 0) this.exchangeCounts();
      this.serve();
      this.sendArrivals();
    }
    return this.result();
  }

  private result(): SharedEnginesResult {
    const total = this.arrivals.reduce((sum, count) => sum + count, 0);
    const sorted = this.slowdowns.sort((left, right) => left - right);
    return {
      busiestShare: (Math.max(...this.arrivals) * this.truth.length) / total,
      overflowShare: this.overflows / total,
      slowdown95: sorted[Math.floor(0.95 * sorted.length)],
      crossDomainShare: this.crossings / total,
      slowShare: this.slowArrivals / total,
      leftBySecond: [...this.firstDomainBySecond].map(
        (counts = {sent: 0, left: 0}) => counts.left / counts.sent,
      ),
      lastShares: this.shares
        .filter(({at}) => at >= this.now - MILLISECONDS_PER_SECOND)
        .map(({share}) => share),
    };
  }

  /**
   * Gives each model some engines, so that each engine holds equal demand: a
   * model's demand is in proportion to its replicas.
   */
  private placeModels(): void {
    const {engineCount, maximumReplicas} = this.settings;
    if (maximumReplicas === undefined) {
      this.holders.push(this.truth.map((_item, engine) => engine));
      return;
    }
    let next = 0;
    for (let model = 0; model < 4 * engineCount; model += 1) {
      const replicas = 1 + Math.floor(this.random() ** 2 * maximumReplicas);
      const held = Array.from(
        {length: Math.min(replicas, engineCount)},
        (_item, index) => (next + index) % engineCount,
      );
      next += held.length;
      // Listed once for each replica, as demand is drawn from this list.
      for (const _engine of held) this.holders.push(held);
    }
  }

  private domainOf(index: number): string {
    return `domain-${index % this.settings.failureDomains}`;
  }

  private isInFirstDomain(node: number): boolean {
    return this.domainOf(node) === this.domainOf(0);
  }

  private drawNode(): number {
    const {firstDomainPart} = this.settings;
    const isFirst =
      firstDomainPart !== undefined && this.random() < firstDomainPart;
    for (;;) {
      const node = Math.floor(this.random() * this.views.length);
      if (firstDomainPart === undefined) return node;
      if (this.isInFirstDomain(node) === isFirst) return node;
    }
  }

  private countOfFirstDomain(isCrossing: boolean): void {
    const second = Math.floor(this.now / MILLISECONDS_PER_SECOND);
    const counts = (this.firstDomainBySecond[second] ??= {sent: 0, left: 0});
    counts.sent += 1;
    if (isCrossing) counts.left += 1;
  }

  private exchangeCounts(): void {
    this.history.push(
      this.views.map(view => view.map(({ownInFlight}) => ownInFlight)),
    );
    const stepMilliseconds = GOSSIP_STEPS * STEP_MILLISECONDS;
    this.views.forEach((view, node) => {
      const lag = Math.ceil(this.lags[node] / stepMilliseconds);
      const counts = this.history.at(-1 - lag);
      if (!counts) return;
      const own = counts[node];
      view.forEach((upstream, engine) => {
        upstream.peersInFlight = -own[engine];
        upstream.domainPeersInFlight = -own[engine];
      });
      counts.forEach((row, sender) => {
        const isNear = this.domainOf(sender) === this.domainOf(node);
        row.forEach((count, engine) => {
          if (count === 0) return;
          view[engine].peersInFlight += count;
          if (isNear) view[engine].domainPeersInFlight += count;
        });
      });
    });
    const kept = Math.ceil(MAXIMUM_LAG_MILLISECONDS / stepMilliseconds) + 2;
    if (this.history.length > kept) this.history.shift();
  }

  private workFactor(engine: number): number {
    return (this.settings.workPercent?.(engine, this.now) ?? PERCENT) / PERCENT;
  }

  private serve(): void {
    const {slots} = this.settings;
    for (let index = this.running.length - 1; index >= 0; index -= 1) {
      const request = this.running[index];
      const {node, engine, sentAt, work} = request;
      const load = this.truth[engine] / slots;
      // An engine slows down with each running request, and more as it overflows.
      const slowdown =
        this.workFactor(engine) * (1 + load + 2 * Math.max(0, load - 1));
      request.done += STEP_MILLISECONDS / slowdown;
      const upstream = this.views[node][engine];
      if (!request.hasHead && this.now - sentAt >= HEAD_MILLISECONDS) {
        request.hasHead = true;
        this.report(upstream, engine);
      }
      if (request.done < work) continue;
      this.truth[engine] -= 1;
      upstream.ownInFlight -= 1;
      this.slowdowns.push((this.now - sentAt) / work);
      this.running[index] = this.running[this.running.length - 1];
      this.running.pop();
    }
  }

  private report(upstream: ProxyUpstream, engine: number): void {
    const {slots, isWorkTold} = this.settings;
    const inFlight = this.truth[engine];
    upstream.recordReportedLoad({
      running: Math.min(slots, inFlight),
      waiting: Math.max(0, inFlight - slots),
      slots,
      ...(isWorkTold && {workPercent: PERCENT * this.workFactor(engine)}),
    });
  }

  private sendArrivals(): void {
    const {requestsPerSecond} = this.settings;
    let expected = (requestsPerSecond * STEP_MILLISECONDS) / 1_000;
    // Exponential gaps make the number of arrivals in a step Poisson.
    for (;;) {
      expected += Math.log(1 - this.random());
      if (expected < 0) return;
      this.send();
    }
  }

  private send(): void {
    const {slots, requestMilliseconds, assumedSenders} = this.settings;
    const node = this.drawNode();
    const held = this.holders[Math.floor(this.random() * this.holders.length)];
    const choose = (fullShare: number) =>
      chooseUpstream(
        held.map(engine => this.views[node][engine]),
        undefined,
        new Set(),
        {
          ownFailureDomain: this.domainOf(node),
          priceShare: 0.2,
          fullShare,
          senderCount: assumedSenders,
          random: this.random,
          onLeavingDecision: ({leavingShare: share}) => {
            if (this.isInFirstDomain(node))
              this.shares.push({at: this.now, share});
          },
        },
      );
    const choice = choose(1);
    // A request that would wait for a slot is left out of the comparison.
    if (typeof choice === 'string') return;
    const engine = Number(choice.id.slice('engine-'.length));
    if (this.truth[engine] >= slots) this.overflows += 1;
    const isCrossing = this.domainOf(engine) !== this.domainOf(node);
    if (isCrossing) this.crossings += 1;
    if (this.isInFirstDomain(node)) this.countOfFirstDomain(isCrossing);
    if (this.workFactor(engine) >= SLOW_FACTOR) this.slowArrivals += 1;
    this.truth[engine] += 1;
    this.arrivals[engine] += 1;
    choice.ownInFlight += 1;
    this.running.push({
      node,
      engine,
      sentAt: this.now,
      work:
        requestMilliseconds * -Math.log(1 - this.random()) + HEAD_MILLISECONDS,
      done: 0,
      hasHead: false,
    });
  }
}
