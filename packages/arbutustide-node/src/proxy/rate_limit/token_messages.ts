import type {
  RequestTokenRequest,
  RequestTokenResponse,
  RequestTokenResponseFields,
} from '@arbutustide/membership';
import type {
  RateLimitObservation,
  TokenRequest,
  TokenResponse,
} from '@arbutustide/routing';

import {RequestTokenRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** An observation on the wire, which nodes with other clocks can read. */
interface ObservationMessage {
  readonly requestsPerSecond?: number;
  readonly ageMilliseconds: number;
}

export function encodeTokenRequest({
  node,
  process,
  observation,
  wantsToken,
}: TokenRequest): RequestTokenRequest {
  return create(RequestTokenRequestSchema, {
    node,
    upstreamId: process.id,
    upstreamStartedAt: BigInt(process.startedAt),
    observation: encodeObservation(observation),
    wantsToken,
  });
}

export function decodeTokenRequest({
  node,
  upstreamId,
  upstreamStartedAt,
  observation,
  wantsToken,
}: RequestTokenRequest): TokenRequest {
  return {
    node,
    process: {id: upstreamId, startedAt: Number(upstreamStartedAt)},
    observation: decodeObservation(observation),
    wantsToken,
  };
}

export function encodeTokenResponse({
  observation,
  ...others
}: TokenResponse): RequestTokenResponseFields {
  return {observation: encodeObservation(observation), ...others};
}

export function decodeTokenResponse({
  observation,
  isIssued,
  waitMilliseconds,
  intervalMilliseconds,
}: RequestTokenResponse): TokenResponse {
  return {
    observation: decodeObservation(observation),
    isIssued,
    waitMilliseconds,
    intervalMilliseconds,
  };
}

function encodeObservation({
  requestsPerSecond,
  atMilliseconds,
}: RateLimitObservation): ObservationMessage {
  return {
    ...(requestsPerSecond !== undefined && {requestsPerSecond}),
    ageMilliseconds: performance.now() - atMilliseconds,
  };
}

function decodeObservation(
  message: ObservationMessage | undefined,
): RateLimitObservation {
  return {
    requestsPerSecond: message?.requestsPerSecond,
    atMilliseconds: performance.now() - (message?.ageMilliseconds ?? Infinity),
  };
}
