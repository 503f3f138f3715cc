import type {QuotaCluster, QuotaNode, SimulatedTeam} from './quota_cluster.js';

import {expect} from 'chai';

/** Share of the rate that teams usually use. */
export const USUAL_DEMAND = 1 / 1.8;

/** Teams as the deployments have them. */
export const TEAMS: readonly SimulatedTeam[] = [
  {name: 'large', ratePerSecond: 270_000, burst: 270_000},
  {name: 'medium', ratePerSecond: 40_000, burst: 40_000},
  {name: 'small', ratePerSecond: 4_200, burst: 4_200},
  {name: 'short-burst', ratePerSecond: 9_000, burst: 4_200},
];

const STEP_MILLISECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;
const LEAST_COST = 200;
const MOST_COST = 4_000;
/** The rule. */
const WINDOW_MILLISECONDS = 8_000;
const ALLOWED_FACTOR = 1.1;
const ALLOWED_EXCESS = 17_000;
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
  requests: number;
  admitted: number;
  admittedUnits: number;
  underLimitUnits: number;
  waitedMilliseconds: number;
}

/** Sends requests of teams to nodes, and judges what was admitted. */
export class QuotaLoad {
  private readonly counts = new Map<string, TeamCount>();

  constructor(
    readonly cluster: QuotaCluster,
    private teams: readonly SimulatedTeam[],
  ) {
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
        requests: 0,
        admitted: 0,
        admittedUnits: 0,
        underLimitUnits: 0,
        waitedMilliseconds: 0,
      });
  }

  /** Changes the limits that demand and rule follow. */
  setTeams(teams: readonly SimulatedTeam[]): void {
    this.teams = teams;
    this.cluster.setTeams(teams);
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

  /** Units admitted, as a share of what one bucket would have admitted. */
  usedShare(team: string): number {
    const {admittedUnits, underLimitUnits} = this.count(team);
    return admittedUnits / underLimitUnits;
  }

  /** Most units of a team in any window, as a share of what is allowed. */
  highestUse({name, ratePerSecond, burst}: SimulatedTeam, from = 0): number {
    const admitted = this.cluster.admitted.filter(
      ({team, atMilliseconds}) => team === name && atMilliseconds >= from,
    );
    let highest = 0;
    let sum = 0;
    let first = 0;
    for (const {cost, atMilliseconds} of admitted) {
      sum += cost;
      while (
        atMilliseconds - admitted[first].atMilliseconds >=
        WINDOW_MILLISECONDS
      ) {
        sum -= admitted[first].cost;
        first += 1;
      }
      highest = Math.max(highest, sum);
    }
    const seconds = WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const quota = ratePerSecond * seconds + burst;
    return highest / (quota * ALLOWED_FACTOR + ALLOWED_EXCESS);
  }

  expectRuleKept(from = 0, teams = this.teams): void {
    for (const team of teams)
      expect(this.highestUse(team, from), team.name).to.be.at.most(1);
  }

  report(title: string | number): string {
    const lines = this.teams.map(team => {
      const count = this.count(team.name);
      return [
        team.name.padEnd(12),
        `highest ${this.highestUse(team).toFixed(3)}`,
        `under limit admitted ${this.admittedShare(team.name).toFixed(4)}`,
        `used ${this.usedShare(team.name).toFixed(3)}`,
        `requests ${count.requests}`,
        `wait ${(count.waitedMilliseconds / count.requests).toFixed(2)}`,
      ].join(' ');
    });
    return `${title}: calls ${this.cluster.callCount}\n${lines.join('\n')}`;
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
    const sentAt = performance.now();
    const isAdmitted = await this.cluster.take(node, team, cost);
    count.waitedMilliseconds += performance.now() - sentAt;
    count.requests += 1;
    if (isUnderLimit) count.underLimitUnits += cost;
    if (isAdmitted) count.admittedUnits += cost;
    count.admitted += Number(isAdmitted);
    count.underLimit += Number(isUnderLimit);
    count.underLimitAdmitted += Number(isUnderLimit && isAdmitted);
  }

  private count(team: string): TeamCount {
    const count = this.counts.get(team);
    if (!count) throw new Error(`unknown team ${team}`);
    return count;
  }
}
