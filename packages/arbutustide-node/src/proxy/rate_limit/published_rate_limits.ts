import type {FieldValue, PeerRateLimit} from '@arbutustide/membership';
import type {ProxyUpstreamDirectory, TokenIssuer} from '@arbutustide/routing';

import {UpstreamRateLimitSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Fields of this node's record: the limits that it issues tokens for. */
export function* rateLimitFields(
  issuer: TokenIssuer,
): Generator<readonly [string, FieldValue]> {
  for (const {process, requestsPerSecond} of issuer.limits()) {
    const value = create(UpstreamRateLimitSchema, {
      upstreamId: process.id,
      upstreamStartedAt: BigInt(process.startedAt),
      requestsPerSecond,
    });
    yield [`rate_limit/${process.id}`, {case: 'rateLimit', value}];
  }
}

/**
 * Applies the rate limits that peers publish, each once: a node that has seen
 * since that a limit has ended must not take it for a new one.
 */
export class PublishedRateLimits {
  private appliedSequences = new Map<string, number>();

  constructor(private readonly directory: ProxyUpstreamDirectory) {}

  /** Applies the limits that were not applied before. */
  apply(published: readonly PeerRateLimit[]): void {
    const applied = new Map<string, number>();
    for (const {limit, sequence, writer} of published) {
      const {upstreamId, upstreamStartedAt, requestsPerSecond} = limit;
      const upstream = this.directory.get(upstreamId);
      const isSameProcess =
        upstream?.description.startedAt === Number(upstreamStartedAt);
      if (!isSameProcess) continue;
      const key = `${writer} ${upstreamId}`;
      applied.set(key, sequence);
      if (this.appliedSequences.get(key) === sequence) continue;
      const atMilliseconds = performance.now();
      upstream.rateLimit.record({requestsPerSecond, atMilliseconds});
    }
    this.appliedSequences = applied;
  }
}
