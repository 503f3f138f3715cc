import type {ProxyDependencies} from './proxy_dependencies.js';
import type {RegisterSingleton} from './register_singleton.js';

import {HoldTimeDistributions, SlotHoldTimes} from '@arbutustide/routing';

import {ProxyToken} from './proxy_tokens.js';
import {ShutdownAdmission} from './shutdown_admission.js';

/**
 * Registers what decides which requests a node takes while it shuts down, and the
 * times of requests, which the queue measures.
 */
export function registerShutdownAdmission(
  register: RegisterSingleton,
  {settings, logger}: ProxyDependencies,
): void {
  register(ProxyToken.SLOT_HOLD_TIMES, () => new SlotHoldTimes());
  register(
    ProxyToken.HOLD_TIME_DISTRIBUTIONS,
    () => new HoldTimeDistributions(),
  );
  register(ProxyToken.SHUTDOWN_ADMISSION, container => {
    const times = container.resolve(ProxyToken.HOLD_TIME_DISTRIBUTIONS);
    const budgets = container.resolve(ProxyToken.RETRY_BUDGETS);
    return new ShutdownAdmission({
      ...settings.shutdown,
      recordRefused: ({service}) => budgets.forService(service).recordRequest(),
      longestMilliseconds: request => times.longestMilliseconds(request),
      onDecision: decision => logger.info(decision, 'request while stopping'),
    });
  });
}
