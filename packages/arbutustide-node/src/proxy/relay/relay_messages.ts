import type {Cancellation} from '@arbutustide/errors';
import type {
  RelayRequestRequest,
  RelayRequestResponse,
  RelayResponsePart,
} from '@arbutustide/membership';
import type {
  AnswerPeriod,
  ModelRequest,
  ProxyAnswer,
  RelayedProgress,
  Route,
  RoutedRequest,
} from '@arbutustide/routing';

import {ErrorKind, ExecutionStatus, RefusalError} from '@arbutustide/errors';
import {inputMonitor} from '@arbutustide/event-loop';
import {RelayRequestRequestSchema} from '@arbutustide/membership';
import {remainingForUpstream, RequestKind} from '@arbutustide/routing';
import {create} from '@bufbuild/protobuf';

type RelayedRoute = NonNullable<RelayRequestRequest['route']>;
type RelayedModelRequest = NonNullable<RelayRequestRequest['modelRequest']>;
type PartOf<C extends string> =
  Extract<RelayRequestResponse['part'], {case: C}> extends {value: infer V}
    ? V
    : never;

/** @param sender identity of this node. */
export function encodeRelayRequest(
  sender: string,
  request: RoutedRequest,
  {attempts, mayHaveRun, origin, resumeAfterEventId}: RelayedProgress,
  answerPeriod: AnswerPeriod,
): RelayRequestRequest {
  const {route, modelRequest, headers} = request;
  return create(RelayRequestRequestSchema, {
    sender,
    requestId: request.requestId,
    route: {
      name: route.name,
      host: route.host,
      pathPrefix: route.pathPrefix,
      kind: route.kind,
      timeoutMilliseconds: route.timeoutMilliseconds,
      firstByteTargetMilliseconds: route.firstByteTargetMilliseconds,
      callerTimeoutMilliseconds: route.callerTimeoutMilliseconds,
      priority: route.priority,
      maximumAttempts: route.maximumAttempts,
      isResumable: route.isResumable,
    },
    team: request.team,
    service: request.service,
    configurationVersion: request.configurationVersion,
    method: request.method,
    requestTarget: request.requestTarget,
    headers: [...headers],
    body: request.body,
    modelRequest: modelRequest && {
      ...modelRequest,
      promptSegments: [...modelRequest.promptSegments],
    },
    lastEventId: request.lastEventId,
    resumedRequestId: request.resumedRequestId,
    remainingMilliseconds: remainingForUpstream({request}, answerPeriod),
    attempts,
    mayHaveRun,
    origin,
    resumeAfterEventId,
  });
}

/**
 * Decodes a request that a peer passes on.
 *
 * @param disconnection is cancelled when the peer gives the request up.
 * @return undefined if this node does not know such requests.
 */
export function decodeRelayedRequest(
  message: RelayRequestRequest,
  disconnection: Cancellation,
): RoutedRequest | undefined {
  const {route, modelRequest, body, resumeAfterEventId, service} = message;
  const kind = Object.values(RequestKind).find(known => known === route?.kind);
  if (!route || !kind) return undefined;
  const arrivedAtMilliseconds = inputMonitor.arrivedAfterMilliseconds;
  const now = performance.now();
  return {
    requestId: message.requestId,
    route: decodeRoute(route, kind, service),
    team: message.team && {
      name: message.team.name,
      priority: message.team.priority,
      keyDigest: message.team.keyDigest,
    },
    service,
    configurationVersion: message.configurationVersion,
    method: message.method,
    requestTarget: message.requestTarget,
    headers: message.headers,
    body: body && Buffer.from(body.buffer, body.byteOffset, body.byteLength),
    modelRequest: modelRequest && decodeModelRequest(modelRequest),
    lastEventId: resumeAfterEventId ?? message.lastEventId,
    resumedRequestId: message.resumedRequestId,
    arrivedAtMilliseconds,
    unreadMilliseconds: now - arrivedAtMilliseconds,
    callerSeenAtMilliseconds: arrivedAtMilliseconds,
    deadlineAtMilliseconds:
      arrivedAtMilliseconds + message.remainingMilliseconds,
    disconnection,
  };
}

export function decodeRelayedProgress({
  attempts,
  mayHaveRun,
  origin,
  resumeAfterEventId,
}: RelayRequestRequest): RelayedProgress {
  return {attempts, mayHaveRun, origin, resumeAfterEventId};
}

/** @param attemptsBefore attempts that were made before this node's. */
export function encodeHead(
  {status, headers, upstreamId, origin, attempts, body}: ProxyAnswer,
  attemptsBefore: number,
): RelayResponsePart {
  return {
    part: {
      case: 'head',
      value: {
        status,
        headers: [...headers],
        upstreamId,
        origin,
        isEventStream: !Buffer.isBuffer(body),
        attempts: attempts - attemptsBefore,
      },
    },
  };
}

export function encodeRefusal({
  kind,
  message,
  ran,
  retryAfterMilliseconds,
}: RefusalError): RelayResponsePart {
  const value = {kind, message, ran, retryAfterMilliseconds};
  return {part: {case: 'refusal', value}};
}

/** A refusal whose kind or status this node does not know may have run. */
export function decodeRefusal({
  kind,
  message,
  ran,
  retryAfterMilliseconds,
}: PartOf<'refusal'>): RefusalError {
  const knownKind = Object.values(ErrorKind).find(known => known === kind);
  const knownRan = Object.values(ExecutionStatus).find(known => known === ran);
  return new RefusalError(knownKind ?? ErrorKind.UPSTREAM_BROKEN, message, {
    ran: knownKind && knownRan ? knownRan : ExecutionStatus.POSSIBLY_EXECUTED,
    retryAfterMilliseconds,
  });
}

function decodeRoute(
  route: RelayedRoute,
  kind: RequestKind,
  service: string,
): Route {
  return {
    name: route.name,
    host: route.host,
    pathPrefix: route.pathPrefix,
    kind,
    targets: [{service, weight: 1}],
    timeoutMilliseconds: route.timeoutMilliseconds,
    firstByteTargetMilliseconds: route.firstByteTargetMilliseconds,
    callerTimeoutMilliseconds: route.callerTimeoutMilliseconds,
    priority: route.priority,
    maximumAttempts: route.maximumAttempts,
    isResumable: route.isResumable,
    // The node that has the request from its caller has checked the key.
    isPublic: false,
  };
}

function decodeModelRequest({
  model,
  adapter,
  promptTokens,
  maximumOutputTokens,
  promptSegments,
}: RelayedModelRequest): ModelRequest {
  return {model, adapter, promptTokens, maximumOutputTokens, promptSegments};
}
