import type {UpstreamDescription} from '../../proxy/proxy_upstream.js';
import type {ModelRequest, RoutedRequest} from '../../proxy/routed_request.js';
import type {Route} from '../../proxy/route.js';

import {Cancellation} from '@arbutustide/errors';

import {ProxyUpstream, UpstreamState} from '../../proxy/proxy_upstream.js';
import {RequestKind} from '../../proxy/route.js';

/** A route with defaults for all fields that a test does not set. */
export function testRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'host.example',
    pathPrefix: '/',
    kind: RequestKind.IDEMPOTENT,
    targets: [{service: 'service', weight: 1}],
    timeoutMilliseconds: 5_000,
    firstByteTargetMilliseconds: 300,
    callerTimeoutMilliseconds: 2_000,
    priority: 1,
    maximumAttempts: 2,
    isResumable: false,
    isPublic: false,
    ...changes,
  };
}

/** A request that arrives now, with a deadline in 5 s. */
export function testRequest(
  changes: Partial<RoutedRequest> = {},
): RoutedRequest {
  const now = performance.now();
  return {
    requestId: 'request',
    route: testRoute(),
    team: undefined,
    service: 'service',
    method: 'POST',
    requestTarget: '/path',
    headers: [],
    body: Buffer.from('body'),
    modelRequest: undefined,
    lastEventId: undefined,
    resumedRequestId: undefined,
    configurationVersion: 1,
    arrivedAtMilliseconds: now,
    unreadMilliseconds: 0,
    callerSeenAtMilliseconds: now,
    deadlineAtMilliseconds: now + 5_000,
    disconnection: new Cancellation(),
    ...changes,
  };
}

/** A model request with a prompt of 100 tokens. */
export function testModelRequest(
  model: string,
  adapter?: string,
): ModelRequest {
  return {
    model,
    adapter,
    promptTokens: 100,
    maximumOutputTokens: 100,
    promptSegments: [],
  };
}

/** An upstream description with defaults for all fields not set. */
export function testDescription(
  changes: Partial<UpstreamDescription> = {},
): UpstreamDescription {
  return {
    id: 'upstream-1',
    service: 'service',
    address: '10.0.0.1:80',
    failureDomain: 'near',
    softwareVersion: 'v1',
    state: UpstreamState.READY,
    slots: 4,
    startedAt: 1,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
    ...changes,
  };
}

/** An upstream that holds the given models without adapters. */
export function testUpstream(
  id: string,
  models: readonly string[] = [],
  changes: Partial<UpstreamDescription> = {},
): ProxyUpstream {
  return new ProxyUpstream(
    testDescription({
      id,
      models: models.map(name => ({name, version: 1, adapters: []})),
      ...changes,
    }),
  );
}
