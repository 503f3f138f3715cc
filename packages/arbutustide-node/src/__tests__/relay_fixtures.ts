import type {RelayedProgress, RoutedRequest} from '@arbutustide/routing';

import {Cancellation} from '@arbutustide/errors';
import {RequestKind} from '@arbutustide/routing';

/** A request that has been nowhere yet. */
export const FRESH: RelayedProgress = {
  attempts: 0,
  mayHaveRun: false,
  origin: undefined,
  resumeAfterEventId: undefined,
};

/** A stream request that arrives now, with a deadline in 5 s. */
export function createRequest(
  changes: Partial<RoutedRequest> = {},
): RoutedRequest {
  const now = performance.now();
  return {
    requestId: 'request-1',
    team: undefined,
    route: {
      name: 'route',
      host: 'host.example',
      pathPrefix: '/',
      kind: RequestKind.STREAM,
      targets: [{service: 'service', weight: 1}],
      timeoutMilliseconds: 5_000,
      firstByteTargetMilliseconds: 300,
      callerTimeoutMilliseconds: 2_000,
      priority: 1,
      maximumAttempts: 2,
      isResumable: true,
      isPublic: false,
    },
    service: 'service',
    configurationVersion: 7,
    method: 'POST',
    requestTarget: '/path?query',
    headers: ['X-One', '1', 'x-one', '2'],
    body: Buffer.from([0, 255, 10]),
    modelRequest: {
      model: 'model',
      adapter: undefined,
      promptTokens: 100,
      maximumOutputTokens: 20,
      promptSegments: [{id: 'aa', tokens: 50}],
    },
    lastEventId: undefined,
    resumedRequestId: undefined,
    arrivedAtMilliseconds: now,
    unreadMilliseconds: 0,
    callerSeenAtMilliseconds: now,
    deadlineAtMilliseconds: now + 5_000,
    disconnection: new Cancellation(),
    ...changes,
  };
}
