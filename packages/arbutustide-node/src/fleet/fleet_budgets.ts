import type {RetrySettings} from './fleet_settings.js';

import {FleetRetryBudget} from '@arbutustide/routing';

/** The retry budgets of all services. */
export class FleetBudgets {
  private readonly budgets = new Map<string, FleetRetryBudget>();

  /** @param nodeCount nodes that may retry at present. */
  constructor(
    private readonly settings: RetrySettings,
    private readonly nodeCount: () => number,
  ) {}

  /** The budget of one service. */
  of(service: string): FleetRetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const {nodeCount} = this;
    const budget = new FleetRetryBudget({...this.settings, nodeCount});
    this.budgets.set(service, budget);
    return budget;
  }
}
