import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {Queued} from './team_shares.js';

import {PriorityShares} from './priority_shares.js';
import {effectivePriority} from '../routed_request.js';
import {Standing} from './queue_position.js';
import {TeamShares} from './team_shares.js';

/** What the order of service depends on besides the requests. */
export interface ServiceOrderOptions {
  /**
   * Whether callers differ in team or priority. If so, starved priorities are
   * favoured, and requests that can still meet their objective precede those of
   * their priority that cannot: all would be served late otherwise while there
   * is not enough capacity.
   */
  readonly hasSeveralClasses: () => boolean;
}

interface Group<Item> {
  readonly rank: number;
  readonly isLate: boolean;
  readonly items: Item[];
}

/** Rank of a favoured priority; other ranks are the priorities. */
const FAVOURED_RANK = -Infinity;

/**
 * The order in which queued requests are served: favoured priorities, then by
 * priority; in a priority, those that can meet their objective, if so wanted;
 * then by the teams' shares and by deadline.
 */
export class ServiceOrder {
  private readonly priorityShares = new PriorityShares();
  private readonly teamShares = new TeamShares();

  constructor(private readonly options: ServiceOrderOptions) {}

  /**
   * Orders requests that are sorted by priority and deadline. Without teams,
   * starved priorities and the objective, that is the order.
   */
  arrange<Item extends Queued>(items: readonly Item[]): readonly Item[] {
    if (items.length < 2) return items;
    const servesOnTimeFirst = this.hasSeveralClasses();
    const groups = new Map<string, Group<Item>>();
    const rankOf = this.createRanking();
    for (const item of items) {
      const rank = rankOf(item.progress);
      const isLate = servesOnTimeFirst && isPastObjective(item.progress);
      const key = `${rank} ${isLate} ${effectivePriority(item.progress.request)}`;
      const group = groups.get(key);
      if (group) group.items.push(item);
      else groups.set(key, {rank, isLate, items: [item]});
    }
    return [...groups.values()]
      .sort(compareGroups)
      .flatMap(({isLate, items: grouped}) =>
        this.teamShares.arrange(
          servesOnTimeFirst && !isLate ? sortByObjective(grouped) : grouped,
        ),
      );
  }

  /** Whether callers differ in team or priority. */
  hasSeveralClasses(): boolean {
    return this.options.hasSeveralClasses();
  }

  /** How the order treats a request besides its priority. */
  standingOf(progress: RoutedRequestProgress): Standing {
    if (!this.hasSeveralClasses()) return Standing.USUAL;
    if (this.priorityShares.isFavoured(progress.request))
      return Standing.FAVOURED;
    return isPastObjective(progress) ? Standing.LATE : Standing.USUAL;
  }

  /** Records that a request got a slot. */
  recordServed(progress: RoutedRequestProgress, wasQueued: boolean): void {
    this.priorityShares.record(progress.request, true);
    if (wasQueued) this.teamShares.recordServed(progress);
  }

  /** Records that a request was refused a slot. */
  recordRefused({request}: RoutedRequestProgress): void {
    this.priorityShares.record(request, false);
  }

  /** Records that nothing waits any more. */
  recordEmpty(): void {
    this.teamShares.clear();
  }

  private createRanking(): (progress: RoutedRequestProgress) => number {
    const hasSeveralClasses = this.hasSeveralClasses();
    const ranks = new Map<string, number>();
    return progress => {
      const priority = effectivePriority(progress.request);
      const key = `${progress.request.service} ${priority}`;
      const known = ranks.get(key);
      if (known !== undefined) return known;
      const isFavoured =
        hasSeveralClasses && this.priorityShares.isFavoured(progress.request);
      const rank = isFavoured ? FAVOURED_RANK : priority;
      ranks.set(key, rank);
      return rank;
    };
  }
}

/** Whether the first byte can no longer arrive within the route's objective. */
function isPastObjective(progress: RoutedRequestProgress): boolean {
  return objectiveAt(progress) < performance.now();
}

function objectiveAt({
  request,
  lastDeliveryAtMilliseconds,
}: RoutedRequestProgress): number {
  return lastDeliveryAtMilliseconds + request.route.firstByteTargetMilliseconds;
}

function sortByObjective<Item extends Queued>(items: Item[]): Item[] {
  return items.sort(
    (left, right) => objectiveAt(left.progress) - objectiveAt(right.progress),
  );
}

function compareGroups(left: Group<unknown>, right: Group<unknown>): number {
  if (left.rank !== right.rank) return left.rank < right.rank ? -1 : 1;
  return Number(left.isLate) - Number(right.isLate);
}
