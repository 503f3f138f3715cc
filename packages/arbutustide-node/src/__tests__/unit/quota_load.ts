import type {Clock} from '@sinonjs/fake-timers';

import type {QuotaNode} from './quota_cluster.js';
import type {SimulatedTeam} from './quota_configuration.js';

import {expect} from 'chai';

import {QuotaCluster} from './quota_cluster.js';

/** Share of the rate that teams usually use. */
export const USUAL_DEMAND = 1 / 1.8;

/** Teams as the deployments have them. */
export const TEAMS: readonly SimulatedTeam[] = [
  {name: 'large', ratePerSecond: 270_000, burst: 270_000},
  {name: 'medium', ratePerSecond: 40_000, burst: 40_000},
  {name: 'small', ratePerSecond: 4_200, burst: 4_200},
  {name: 'short-burst', ratePerSecond: 9_000, burst: 4_200},
];

/** What is paused; setImmediate runs what is due at each step. */
export const PAUSED = [
  'Date',
  'performance',
  'setTimeout',
  'clearTimeout',
] as const;

/** Until issuers have seen all nodes and have filled their buckets. */
const WARM_UP_MILLISECONDS = 8_000;
const STEP_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;
const LEAST_COST = 200;
const MOST_COST = 4_000;
/** The rule. */
const WINDOW_MILLISECONDS = 8_000;
const ALLOWED_FACTOR = 1.1;
const ALLOWED_EXCESS = 17_000;
/**
 * Time from a lowered limit until it binds: all nodes have applied it, and
 * leases from before have lapsed.
 */
const LOWERED_MILLISECONDS = 4_000;
/** Nodes at which the callers of every second team are. */
const FEW_NODES = 3;

/** What one team asked for and got. */
interface TeamCount {
  /** Units that a single bucket for all nodes would have. */
  bucket: number;
  /** Units to be asked for, carried over to the next step. */
  due: number;
  underLimit: number;
  underLimitAdmitted: number;
  admittedUnits: number;
  underLimitUnits: number;
}

/** Limits, and the time in which they were the latest. */
interface LimitChange {
  readonly teams: readonly SimulatedTeam[];
  readonly from: number;
  to: number;
}

/** Sends requests of teams to nodes, and judges what was admitted. */
export class QuotaLoad {
  private readonly counts = new Map<string, TeamCount>();
  private readonly limitChanges: LimitChange[];

  constructor(
    readonly cluster: QuotaCluster,
    private teams: readonly SimulatedTeam[],
  ) {
    this.limitChanges = [{teams, from: -Infinity, to: Infinity}];
    this.resetCounts();
  }

  /** Begins to count admitted requests anew, with full buckets. */
  resetCounts(): void {
    for (const {name, burst} of this.teams)
      this.counts.set(name, {
        bucket: burst,
        due: 0,
        underLimit: 0,
        underLimitAdmitted: 0,
        admittedUnits: 0,
        underLimitUnits: 0,
      });
  }

  /** Changes the limits that demand and rule follow. */
  setTeams(teams: readonly SimulatedTeam[]): void {
    this.teams = teams;
    this.cluster.setTeams(teams);
    const now = performance.now();
    this.limitChanges[this.limitChanges.length - 1].to = now;
    this.limitChanges.push({teams, from: now, to: Infinity});
  }

  /** @param demand what the teams ask for, as a share of their rates. */
  async run(milliseconds: number, demand: number): Promise<void> {
    await this.cluster.run(milliseconds, STEP_MILLISECONDS, () => {
      for (const [index, team] of this.teams.entries())
        this.sendDue(team, index, demand);
    });
  }

  /** Share of the requests that one bucket would admit that were admitted. */
  admittedShare(team: string): number {
    const {underLimit, underLimitAdmitted} = this.count(team);
    return underLimit === 0 ? 1 : underLimitAdmitted / underLimit;
  }

  /** The same for the requests of all teams together. */
  get admittedShareOfAll(): number {
    const counts = [...this.counts.values()];
    const sum = (pick: (count: TeamCount) => number) =>
      counts.reduce((total, count) => total + pick(count), 0);
    return (
      sum(count => count.underLimitAdmitted) / sum(count => count.underLimit)
    );
  }

  /** Units admitted, as a share of what one bucket would have admitted. */
  usedShare(team: string): number {
    const {admittedUnits, underLimitUnits} = this.count(team);
    return admittedUnits / underLimitUnits;
  }

  /** Most units of a team in any window, as a share of what is allowed. */
  highestUse(name: string): number {
    const admitted = this.cluster.admitted.filter(({team}) => team === name);
    let highest = 0;
    let sum = 0;
    let first = 0;
    for (const {cost, atMilliseconds: end} of admitted) {
      sum += cost;
      while (end - admitted[first].atMilliseconds >= WINDOW_MILLISECONDS) {
        sum -= admitted[first].cost;
        first += 1;
      }
      highest = Math.max(highest, sum / this.allowedUnits(name, end));
    }
    return highest;
  }

  expectRuleKept(): void {
    for (const {name} of this.teams)
      expect(this.highestUse(name), name).to.be.at.most(1);
  }

  /** The most that a team may use in the window that ends at a time. */
  private allowedUnits(name: string, end: number): number {
    const quotas = this.limitChanges
      .filter(
        ({from, to}) =>
          from <= end && end - WINDOW_MILLISECONDS < to + LOWERED_MILLISECONDS,
      )
      .map(({teams}) => teams.find(team => team.name === name))
      .map(team => (team ? windowQuota(team) : 0));
    return Math.max(...quotas) * ALLOWED_FACTOR + ALLOWED_EXCESS;
  }

  /** Teams are in turn at all nodes and at a few, which get uneven parts. */
  private chooseNode(teamIndex: number): QuotaNode {
    const {nodes} = this.cluster;
    const random = this.cluster.random();
    if (teamIndex % 2 === 1) {
      const few = Math.min(FEW_NODES, nodes.length);
      const chosen = Math.floor(random * random * few);
      return nodes[(teamIndex * 13 + chosen) % nodes.length];
    }
    return nodes[Math.floor(random * nodes.length)];
  }

  private sendDue(team: SimulatedTeam, index: number, demand: number): void {
    const count = this.count(team.name);
    const perStep =
      (team.ratePerSecond * STEP_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    count.bucket = Math.min(team.burst, count.bucket + perStep);
    // Exponential amounts make arrivals come in clusters.
    count.due -= Math.log(1 - this.cluster.random()) * perStep * demand;
    while (count.due > 0) {
      const span = Math.min(MOST_COST, team.burst) - LEAST_COST;
      const cost = LEAST_COST + Math.floor(this.cluster.random() ** 2 * span);
      count.due -= cost;
      void this.send(this.chooseNode(index), team.name, cost, count);
    }
  }

  private async send(
    node: QuotaNode,
    team: string,
    cost: number,
    count: TeamCount,
  ): Promise<void> {
    if (node.isFrozen) return;
    const isUnderLimit = cost <= count.bucket;
    if (isUnderLimit) count.bucket -= cost;
    const isAdmitted = await this.cluster.take(node, team, cost);
    if (isUnderLimit) count.underLimitUnits += cost;
    if (isAdmitted) count.admittedUnits += cost;
    count.underLimit += Number(isUnderLimit);
    count.underLimitAdmitted += Number(isUnderLimit && isAdmitted);
  }

  private count(team: string): TeamCount {
    const count = this.counts.get(team);
    if (!count) throw new Error(`unknown team ${team}`);
    return count;
  }
}

/** What the limit alone admits in a window. */
function windowQuota({ratePerSecond, burst}: SimulatedTeam): number {
  return (
    (ratePerSecond * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND + burst
  );
}

/** Starts nodes on a paused clock. */
export async function startQuotaLoad(
  clock: Pick<Clock, 'tick'>,
  nodeCount: number,
  teams: readonly SimulatedTeam[],
): Promise<QuotaLoad> {
  const cluster = new QuotaCluster(nodeCount, teams, async milliseconds => {
    clock.tick(milliseconds);
    await new Promise(resolve => setImmediate(resolve));
  });
  const load = new QuotaLoad(cluster, teams);
  await load.run(WARM_UP_MILLISECONDS, 0);
  return load;
}
