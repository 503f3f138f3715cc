import type {RetrySettings} from './fleet_settings.js';

import {FleetRetryBudget} from '@arbutustide/routing';

/** The retry budgets of all services. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, FleetRetryBudget>();
  private highestNodeCount: number;

  /**
   * @param countNodes nodes heard of at present. A node that hears of few may
   *     be cut off from the rest, so the most ever heard of count.
   * @param initialNodeCount nodes assumed before others were heard of.
   */
  constructor(
    private readonly settings: RetrySettings,
    private readonly countNodes: () => number,
    initialNodeCount: number,
  ) {
    this.highestNodeCount = initialNodeCount;
  }

  /** The budget of one service. */
  forService(service: string): FleetRetryBudget {
    const existing = this.budgets.get(service);
    if (existing) return existing;
    const nodeCount = () => {
      this.highestNodeCount = Math.max(
        this.highestNodeCount,
        this.countNodes(),
      );
      return this.highestNodeCount;
    };
    const budget = new FleetRetryBudget({...this.settings, nodeCount});
    this.budgets.set(service, budget);
    return budget;
  }
}
