import type {
  LeaseQuotaRequest,
  LeaseQuotaResponse,
  LeaseQuotaResponseFields,
} from '@arbutustide/membership';
import type {QuotaClaim, QuotaGrant} from '@arbutustide/quotas';

import {LeaseQuotaRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** @param node identity of the node that claims. */
export function encodeClaims(
  node: string,
  claims: readonly QuotaClaim[],
): LeaseQuotaRequest {
  return create(LeaseQuotaRequestSchema, {node, claims: [...claims]});
}

/** Amounts that are no amounts are taken for zero. */
export function decodeClaims({claims}: LeaseQuotaRequest): QuotaClaim[] {
  return claims.map(
    ({
      team,
      wanted,
      needed,
      returned,
      ratePerSecond,
      burst,
      configurationVersion,
    }) => ({
      team,
      wanted: decodeAmount(wanted),
      needed: decodeAmount(needed),
      returned: decodeAmount(returned),
      ratePerSecond: decodeAmount(ratePerSecond),
      burst: decodeAmount(burst),
      configurationVersion,
    }),
  );
}

export function encodeGrants(
  grants: readonly QuotaGrant[],
): LeaseQuotaResponseFields {
  return {grants: [...grants]};
}

export function decodeGrants({grants}: LeaseQuotaResponse): QuotaGrant[] {
  return grants.map(
    ({team, isIssuer, granted, validMilliseconds, retryAfterMilliseconds}) => ({
      team,
      isIssuer,
      granted: decodeAmount(granted),
      validMilliseconds: decodeAmount(validMilliseconds),
      retryAfterMilliseconds: decodeAmount(retryAfterMilliseconds),
    }),
  );
}

function decodeAmount(amount: number): number {
  return Number.isFinite(amount) && amount > 0 ? amount : 0;
}
