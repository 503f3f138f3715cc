import type {RetrySettings} from './fleet_settings.js';

import {FleetRetryBudget} from '@arbutustide/routing';

/** The retry budgets of all services. */
export class FleetBudgets {
  private readonly budgets = new Map<string, FleetRetryBudget>();
  private mostNodes: number;

  /**
   * @param nodeCount nodes heard of at present. A node that hears of few may
   *     be cut off from the rest, so the most ever heard of count.
   * @param leastNodes nodes assumed before others were heard of.
   */
  constructor(
    private readonly settings: RetrySettings,
    private readonly nodeCount: () => number,
    leastNodes: number,
  ) {
    this.mostNodes = leastNodes;
  }

  /** The budget of one service. */
  of(service: string): FleetRetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const nodeCount = () => {
      this.mostNodes = Math.max(this.mostNodes, this.nodeCount());
      return this.mostNodes;
    };
    const budget = new FleetRetryBudget({...this.settings, nodeCount});
    this.budgets.set(service, budget);
    return budget;
  }
}
