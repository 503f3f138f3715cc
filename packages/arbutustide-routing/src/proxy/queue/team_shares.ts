import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {RoutedRequest} from '../routed_request.js';

import {effectivePriority} from '../routed_request.js';

/** Something that waits for a slot. */
export interface Queued {
  readonly progress: RoutedRequestProgress;
}

/** Cost of a request without token counts, in tokens. */
const PLAIN_REQUEST_TOKENS = 1_000;

/**
 * Fair queueing over the teams of one priority, and over the models of a team,
 * by tokens. Load: a team that sends many times its usual load; the others'
 * requests are served as if it did not, and what they leave is its own.
 */
export class TeamShares {
  /** Virtual time up to which each flow was served; a flow has a unique key. */
  private readonly servedUntil = new Map<string, number>();
  /** Virtual time at which the latest request of each group of flows began. */
  private readonly groupTimes = new Map<string, number>();

  /**
   * Orders the requests of one priority by the virtual time at which their share
   * has paid for them. The given order decides within a flow and among equals.
   */
  arrange<Item extends Queued>(items: readonly Item[]): readonly Item[] {
    if (!items.some(({progress}) => progress.request.team)) return items;
    const itemsByTeam = new Map<string, Item[]>();
    for (const item of items) {
      const key = teamKey(item.progress.request);
      const known = itemsByTeam.get(key);
      if (known) known.push(item);
      else itemsByTeam.set(key, [item]);
    }
    const arranged: Item[] = [];
    for (const [key, ofTeam] of itemsByTeam) {
      arranged.push(...this.arrangeFlows(ofTeam, () => key, modelKey));
    }
    return this.arrangeFlows(arranged, priorityKey, teamKey);
  }

  /** Charges a request that was queued and gets its slot. */
  recordServed({request}: RoutedRequestProgress): void {
    if (!request.team) return;
    const cost = costOf(request);
    this.charge(priorityKey(request), teamKey(request), cost);
    this.charge(teamKey(request), modelKey(request), cost);
  }

  /** Forgets all shares, once nothing waits: unused shares are not saved up. */
  clear(): void {
    this.servedUntil.clear();
    this.groupTimes.clear();
  }

  private charge(group: string, flow: string, cost: number): void {
    const begins = this.beginningOf(group, flow);
    this.groupTimes.set(group, begins);
    this.servedUntil.set(flow, begins + cost);
  }

  private beginningOf(group: string, flow: string): number {
    const groupTime = this.groupTimes.get(group) ?? 0;
    return Math.max(groupTime, this.servedUntil.get(flow) ?? 0);
  }

  private arrangeFlows<Item extends Queued>(
    items: readonly Item[],
    groupOf: (request: RoutedRequest) => string,
    flowOf: (request: RoutedRequest) => string,
  ): Item[] {
    const paidUntil = new Map<string, number>();
    const tagged = items.map(item => {
      const {request} = item.progress;
      const flow = flowOf(request);
      const begins =
        paidUntil.get(flow) ?? this.beginningOf(groupOf(request), flow);
      const ends = begins + costOf(request);
      paidUntil.set(flow, ends);
      return {item, ends};
    });
    return tagged
      .sort((left, right) => left.ends - right.ends)
      .map(({item}) => item);
  }
}

function costOf({modelRequest}: RoutedRequest): number {
  if (!modelRequest) return PLAIN_REQUEST_TOKENS;
  return modelRequest.promptTokens + modelRequest.maximumOutputTokens;
}

function priorityKey(request: RoutedRequest): string {
  return `${request.service} ${effectivePriority(request)}`;
}

function teamKey(request: RoutedRequest): string {
  return `${priorityKey(request)}/${request.team?.name ?? ''}`;
}

function modelKey(request: RoutedRequest): string {
  return `${teamKey(request)}/${request.modelRequest?.model ?? ''}`;
}
