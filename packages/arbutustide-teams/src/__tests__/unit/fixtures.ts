import type {
  RoutedRequest,
  ServingConfiguration,
  TeamDescription,
} from '@arbutustide/routing';

import {Cancellation} from '@arbutustide/errors';
import {RequestKind} from '@arbutustide/routing';

/** A team without limits. */
export function testTeam(
  name: string,
  apiKeys: readonly string[],
  priority?: number,
): TeamDescription {
  return {name, apiKeys, priority, quota: undefined};
}

/** A configuration without routes and services. */
export function testConfiguration(
  version: number,
  teams: readonly TeamDescription[] | undefined,
): ServingConfiguration {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  return {version, routes: [], services: new Map(), limits, teams};
}

/** A request that was routed by a version of the configuration. */
export function testTeamRequest(
  team: RoutedRequest['team'],
  configurationVersion = 1,
): RoutedRequest {
  return {
    requestId: 'request',
    route: {
      name: 'route',
      host: 'host.example',
      pathPrefix: '/',
      kind: RequestKind.IDEMPOTENT,
      targets: [],
      timeoutMilliseconds: 1,
      firstByteTargetMilliseconds: 1,
      callerTimeoutMilliseconds: 1,
      priority: 1,
      maximumAttempts: 1,
      isResumable: false,
      isPublic: false,
    },
    team,
    service: 'service',
    configurationVersion,
    method: 'GET',
    requestTarget: '/',
    headers: [],
    body: undefined,
    modelRequest: undefined,
    lastEventId: undefined,
    resumedRequestId: undefined,
    arrivedAtMilliseconds: 0,
    unreadMilliseconds: 0,
    callerSeenAtMilliseconds: 0,
    deadlineAtMilliseconds: 1,
    disconnection: new Cancellation(),
  };
}
