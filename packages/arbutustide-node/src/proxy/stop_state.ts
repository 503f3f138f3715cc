import type {HandoverSummary, RetryCounts} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import {ProxyToken} from './proxy_tokens.js';

/** What a node that stops holds, and what it has left to save it. */
export interface StopState {
  readonly handovers: HandoverSummary;
  /** Retries by service. */
  readonly retries: Readonly<Record<string, RetryCounts>>;
}

/** What a graceful shutdown would lose if it ended now. */
export function readStopState(container: DependencyContainer): StopState {
  return {
    handovers: container.resolve(ProxyToken.DISPATCHER).handoverSummary,
    retries: container.resolve(ProxyToken.RETRY_BUDGETS).counts,
  };
}
