import type {ProxyDependencies} from './proxy_dependencies.js';
import type {RegisterSingleton} from './register_singleton.js';

import {SlotHoldTimes} from '@arbutustide/routing';

import {ProxyToken} from './proxy_tokens.js';
import {ShutdownAdmission} from './shutdown_admission.js';

/**
 * Registers what decides which requests a node takes while it shuts down, and the
 * times of requests, which the queue measures and refuses by as well.
 */
export function registerShutdownAdmission(
  register: RegisterSingleton,
  {settings}: ProxyDependencies,
): void {
  register(ProxyToken.SLOT_HOLD_TIMES, () => new SlotHoldTimes());
  register(ProxyToken.SHUTDOWN_ADMISSION, container => {
    const holdTimes = container.resolve(ProxyToken.SLOT_HOLD_TIMES);
    return new ShutdownAdmission({
      ...settings.shutdown,
      meanMilliseconds: service => holdTimes.meanMilliseconds(service),
    });
  });
}
