import type {Settings} from '@arbutustide/settings';

import type {BodyLimits} from './bounds/arriving_body.js';

import {BodyTimeout} from './bounds/arriving_body.js';

/** The limits on request bodies of the settings. */
export function createBodyLimits({callers}: Settings): BodyLimits {
  return {
    lengthBytes: callers.bodyLimitBytes,
    timeout: BodyTimeout.WHOLE_BODY,
    timeoutMilliseconds: callers.bodyTimeoutMilliseconds,
  };
}
