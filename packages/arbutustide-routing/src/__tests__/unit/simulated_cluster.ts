import type {install} from '@sinonjs/fake-timers';

import type {PoisonSegmentDetector} from '../../proxy/crash_attribution/poison_segment_detector.js';
import type {UpstreamCrash} from '../../proxy/crash_attribution/upstream_crash.js';

import {ProcessState} from '../../proxy/crash_attribution/poison_segment_detector.js';
import {
  createDetector,
  POISON_SEGMENT,
  requestWith,
} from './poison_fixtures.js';

const COMMON_SEGMENTS = 3;
const RARE_SEGMENTS = 175;

/** Engines and nodes under a load whose segments are as skewed as callers'. */
export class SimulatedCluster {
  readonly nodes: PoisonSegmentDetector[];
  readonly blamedSegments = new Set<string>();
  poisonCrashes = 0;
  poisonRunsAfterFiveCrashes = 0;
  private fifthCrashAt = Infinity;
  private readonly backAt: number[];
  private readonly startedAt: number[];
  private readonly running: {
    attempt: ReturnType<PoisonSegmentDetector['observe']>;
    node: PoisonSegmentDetector;
    endsAt: number;
  }[][];

  constructor(
    private readonly clock: ReturnType<typeof install>,
    private readonly random: () => number,
    nodeCount: number,
    engineCount: number,
  ) {
    this.nodes = Array.from({length: nodeCount}, (_, index) =>
      createDetector(`node${index}`, {
        processState: ({id, startedAt}) =>
          this.startedAt[Number(id)] === startedAt
            ? ProcessState.RUNNING
            : ProcessState.ENDED,
        onQuarantine: segment => this.blamedSegments.add(segment),
      }),
    );
    this.backAt = Array<number>(engineCount).fill(0);
    this.startedAt = Array<number>(engineCount).fill(1);
    this.running = this.backAt.map(() => []);
  }

  /** Sends a request; a poisoned one ends its engine at once. */
  send(isPoisoned: boolean): void {
    const common = `common${Math.floor(this.random() * COMMON_SEGMENTS)}`;
    const rare = `rare${Math.floor(this.random() ** 1.5 * RARE_SEGMENTS)}`;
    const request = requestWith(common, isPoisoned ? POISON_SEGMENT : rare);
    const node = this.nodes[Math.floor(this.random() * this.nodes.length)];
    if (node.isQuarantined(request)) return;
    const up = this.backAt.flatMap((at, index) =>
      at <= performance.now() ? [index] : [],
    );
    if (up.length === 0) return;
    const engine = up[Math.floor(this.random() * up.length)];
    const attempt = node.observe(request, {
      id: String(engine),
      startedAt: this.startedAt[engine],
    });
    attempt?.recordHead();
    attempt?.recordData();
    const endsAt = performance.now() + 300 + this.random() * 2_500;
    this.running[engine].push({attempt, node, endsAt});
    if (!isPoisoned) return;
    this.poisonCrashes += 1;
    if (this.poisonCrashes === 5) this.fifthCrashAt = performance.now();
    if (performance.now() > this.fifthCrashAt + 3_000)
      this.poisonRunsAfterFiveCrashes += 1;
    this.crash(engine);
  }

  crash(engine: number): void {
    const process = {id: String(engine), startedAt: this.startedAt[engine]};
    this.startedAt[engine] += 1;
    this.backAt[engine] = performance.now() + 4_000;
    for (const {attempt} of this.running[engine]) attempt?.recordBroken();
    for (const node of this.nodes) node.recordUnreachable(process);
    this.running[engine] = [];
  }

  /** Passes the time of one step; nodes exchange evidence twice a second. */
  step(milliseconds: number): void {
    this.clock.tick(milliseconds);
    const now = performance.now();
    for (const [engine, requests] of this.running.entries()) {
      for (const {attempt} of requests) attempt?.recordData();
      this.running[engine] = requests.filter(({attempt, endsAt}) => {
        if (endsAt <= now) attempt?.recordWhole();
        return endsAt > now;
      });
    }
    if (Math.floor(now / 500) === Math.floor((now - milliseconds) / 500))
      return;
    const evidence = this.nodes.map((node, index) => ({
      crashes: [...node.recentCrashes()] as UpstreamCrash[],
      survivals: {
        peer: String(index),
        survivals: [...node.suspectSurvivals()],
      },
      quarantines: [...node.quarantineDecisions()],
    }));
    for (const [index, node] of this.nodes.entries()) {
      const others = evidence.filter((_, other) => other !== index);
      node.update({
        crashes: others.flatMap(({crashes}) => crashes),
        survivals: others.map(({survivals}) => survivals),
        quarantines: others.flatMap(({quarantines}) => quarantines),
      });
    }
  }
}
