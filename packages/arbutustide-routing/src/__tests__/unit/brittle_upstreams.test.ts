// Guards against nodes that together make brittle upstreams turn away so many
// requests that they fall over, again and again.
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {
  createBrittleTerms,
  GATEKEEPERS_PER_UPSTREAM,
} from '../../proxy/brittleness/brittle_terms.js';
import {BrittleServices} from '../../proxy/brittleness/brittle_services.js';
import {chooseUpstream} from '../../proxy/choose_upstream.js';
import {testUpstream} from './proxy_fixtures.js';

const SERVICE = 'service';
const SLOTS = 6;
const WORK_MILLISECONDS = 60;
const LATENCY_MILLISECONDS = 5;
/** Time from a fall until a new process is there. */
const RESTART_MILLISECONDS = 3_000;
const PLAY_MILLISECONDS = 20_000;
const TICK_MILLISECONDS = 5;
/** Longest time that a caller waits for a slot. */
const PATIENCE_MILLISECONDS = 500;
const ONE_SECOND_MILLISECONDS = 1_000;
/** Offered load, as a share of what the upstreams can serve. */
const OVERLOAD = 1.5;
/** Falls that the platform allows, besides a tenth of the upstreams. */
const ALLOWED_FALLS = 2;
const ALLOWED_FALL_SHARE = 0.1;

/** A process that falls over when it must turn too many requests away. */
class BrittleProcess {
  running = 0;
  isDown = false;
  falls = 0;
  generation = 0;
  private rejectedAt: number[] = [];

  constructor(private readonly survivedRejections: number) {}

  /** Returns whether the request is admitted. */
  receive(): boolean {
    if (this.running < SLOTS) {
      this.running += 1;
      return true;
    }
    const now = performance.now();
    this.rejectedAt = this.rejectedAt.filter(
      at => now - at < ONE_SECOND_MILLISECONDS,
    );
    this.rejectedAt.push(now);
    if (this.rejectedAt.length > this.survivedRejections) this.fall();
    return false;
  }

  private fall(): void {
    this.falls += 1;
    this.isDown = true;
    this.running = 0;
    this.rejectedAt = [];
    setTimeout(() => {
      this.isDown = false;
      this.generation += 1;
    }, RESTART_MILLISECONDS);
  }
}

/** One node with its own view of the upstreams. */
class SimulatedNode {
  served = 0;
  private readonly services = new BrittleServices();
  private upstreams: ProxyUpstream[] = [];
  private generations: number[] = [];
  private waitingSince: number[] = [];

  constructor(
    private readonly processes: readonly BrittleProcess[],
    private readonly survivedRejections: number,
    private readonly nodeCount: number,
    private readonly random: () => number,
    private readonly isGatekeeper: (upstreamIndex: number) => boolean,
  ) {
    this.services.record(SERVICE, survivedRejections, undefined);
  }

  offer(): void {
    this.waitingSince.push(performance.now());
  }

  /** Sends as many of the waiting requests as the choice allows. */
  sendWaiting(): void {
    this.replaceProcesses();
    const now = performance.now();
    this.waitingSince = this.waitingSince.filter(
      since => now - since < PATIENCE_MILLISECONDS,
    );
    while (this.waitingSince.length > 0 && this.sendOne())
      this.waitingSince.shift();
  }

  private replaceProcesses(): void {
    this.processes.forEach((process, index) => {
      if (this.generations[index] === process.generation) return;
      this.generations[index] = process.generation;
      this.upstreams[index] = testUpstream(`upstream-${index}`, [], {
        slots: SLOTS,
        startedAt: process.generation,
      });
    });
  }

  private sendOne(): boolean {
    const candidates = this.upstreams.filter(
      (_, index) => !this.processes[index].isDown,
    );
    const rejectionsPerSecond = this.services.rejectionsPerSecond(SERVICE);
    const {nodeCount, random} = this;
    const brittleTerms =
      rejectionsPerSecond === undefined
        ? undefined
        : createBrittleTerms(rejectionsPerSecond, nodeCount, random);
    const chosen = chooseUpstream(candidates, undefined, new Set(), {
      ownFailureDomain: 'near',
      priceShare: 0.2,
      fullShare: 3,
      random,
      brittleTerms,
      maySend: upstream =>
        !brittleTerms?.isGated ||
        this.isGatekeeper(this.upstreams.indexOf(upstream)),
    });
    if (typeof chosen === 'string') return false;
    this.send(chosen, this.processes[this.upstreams.indexOf(chosen)]);
    return true;
  }

  private send(upstream: ProxyUpstream, process: BrittleProcess): void {
    const admission = upstream.admission.begin();
    upstream.ownInFlight += 1;
    const {generation} = process;
    const answer = (isRejected: boolean) =>
      setTimeout(() => {
        admission.settle(isRejected);
        upstream.ownInFlight -= 1;
        if (!isRejected) this.served += 1;
        const {running} = process;
        upstream.recordReportedLoad({running, waiting: 0, slots: SLOTS});
        this.services.record(SERVICE, this.survivedRejections, undefined);
      }, LATENCY_MILLISECONDS);
    setTimeout(() => {
      if (process.isDown || !process.receive()) {
        answer(true);
        return;
      }
      setTimeout(() => {
        if (process.generation === generation && !process.isDown)
          process.running -= 1;
        answer(false);
      }, WORK_MILLISECONDS);
    }, LATENCY_MILLISECONDS);
  }
}

describe('brittle upstreams under more load than they can serve', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  function play(
    nodeCount: number,
    upstreamCount: number,
    survivedRejections: number,
    seed: string,
  ) {
    const random = seedrandom(seed);
    const processes = Array.from(
      {length: upstreamCount},
      () => new BrittleProcess(survivedRejections),
    );
    const nodes = Array.from(
      {length: nodeCount},
      (_, node) =>
        new SimulatedNode(
          processes,
          survivedRejections,
          nodeCount,
          random,
          upstream => {
            const first = upstream * GATEKEEPERS_PER_UPSTREAM;
            const offset = (node - first + nodeCount) % nodeCount;
            return offset < GATEKEEPERS_PER_UPSTREAM;
          },
        ),
    );
    // Requests of the other nodes pass through the gatekeepers.
    const {isGated} = createBrittleTerms(survivedRejections, nodeCount, random);
    const gatekeeperCount = upstreamCount * GATEKEEPERS_PER_UPSTREAM;
    const entryNodes = isGated
      ? Math.min(gatekeeperCount, nodeCount)
      : nodeCount;
    const capacity = (upstreamCount * SLOTS) / WORK_MILLISECONDS;
    const offeredPerTick = OVERLOAD * capacity * TICK_MILLISECONDS;
    let offered = 0;
    for (let at = 0; at < PLAY_MILLISECONDS; at += TICK_MILLISECONDS) {
      for (offered += offeredPerTick; offered >= 1; offered -= 1)
        nodes[Math.floor(random() * entryNodes)].offer();
      for (const node of nodes) node.sendWaiting();
      clock.tick(TICK_MILLISECONDS);
    }
    return {
      falls: processes.reduce((sum, process) => sum + process.falls, 0),
      servedShare:
        nodes.reduce((sum, node) => sum + node.served, 0) /
        (capacity * PLAY_MILLISECONDS),
    };
  }

  const CASES = [
    {nodeCount: 7, upstreamCount: 4, survivedRejections: 5},
    {nodeCount: 7, upstreamCount: 4, survivedRejections: 20},
    {nodeCount: 60, upstreamCount: 4, survivedRejections: 10},
    {nodeCount: 195, upstreamCount: 6, survivedRejections: 10},
  ];
  for (const {nodeCount, upstreamCount, survivedRejections} of CASES) {
    it(`rarely fall over and serve most of what they can: ${nodeCount} nodes, ${survivedRejections} rejections a second`, function () {
      this.timeout(60_000);
      for (const seed of ['a', 'b', 'c']) {
        const {falls, servedShare} = play(
          nodeCount,
          upstreamCount,
          survivedRejections,
          seed,
        );
        expect(falls, `falls with seed ${seed}`).to.be.at.most(
          ALLOWED_FALLS + ALLOWED_FALL_SHARE * upstreamCount,
        );
        expect(servedShare, `served with seed ${seed}`).to.be.at.least(0.5);
      }
    });
  }
});
