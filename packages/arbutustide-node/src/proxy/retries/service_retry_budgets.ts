import type {RetryCounts} from '@arbutustide/routing';

import type {RetryBudgetSettings} from '../proxy_settings.js';

import {ClusterRetryBudget} from '@arbutustide/routing';

/** Retry budgets by service, each created on first use. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, ClusterRetryBudget>();
  private highestNodeCount: number;

  /**
   * @param countNodes counts the currently known nodes. A node that knows few
   *     may be partitioned from the rest, so the highest count so far is used.
   * @param initialNodeCount lower bound on the node count, used until more
   *     nodes are known.
   */
  constructor(
    private readonly settings: RetryBudgetSettings,
    private readonly countNodes: () => number,
    initialNodeCount: number,
  ) {
    this.highestNodeCount = initialNodeCount;
  }

  forService(service: string): ClusterRetryBudget {
    const existing = this.budgets.get(service);
    if (existing) return existing;
    const nodeCount = () => {
      this.highestNodeCount = Math.max(
        this.highestNodeCount,
        this.countNodes(),
      );
      return this.highestNodeCount;
    };
    const budget = new ClusterRetryBudget({...this.settings, nodeCount});
    this.budgets.set(service, budget);
    return budget;
  }

  /** What is left of each budget, by service. */
  get counts(): Readonly<Record<string, RetryCounts>> {
    return Object.fromEntries(
      [...this.budgets].map(([service, {counts}]) => [service, counts]),
    );
  }
}
