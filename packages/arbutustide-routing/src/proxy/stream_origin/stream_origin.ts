import type {RoutedRequest} from '../routed_request.js';

/**
 * Where a stream began. What two software versions of a service write does not
 * fit together, so only upstreams of this version may continue it.
 */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** What is known of the origin of a stream that a caller resumes. */
export enum OriginKnowledge {
  /** It began at upstreams of one version, which alone may continue it. */
  KNOWN = 'known',
  /** It may have begun at another version than the upstreams have now. */
  UNKNOWN = 'unknown',
  /** No version of the service's upstreams is known. */
  NO_VERSION = 'no_version',
}

/** Why the origin of a stream is unknown. */
export enum UnknownOriginReason {
  /** Upstreams have, or had, several versions, and no node knows the stream. */
  SEVERAL_VERSIONS = 'several_versions',
  /** The versions that it may have begun at cannot be found out now. */
  UNCONFIRMED_VERSIONS = 'unconfirmed_versions',
  /** It began at another service. */
  OTHER_SERVICE = 'other_service',
}

/** The origin of a stream, or why none is known. */
export type ResolvedOrigin =
  | {
      readonly knowledge: OriginKnowledge.KNOWN;
      readonly origin: StreamOrigin;
    }
  | {
      readonly knowledge: OriginKnowledge.UNKNOWN;
      readonly reason: UnknownOriginReason;
    }
  | {readonly knowledge: OriginKnowledge.NO_VERSION};

/** Remembers the origins of streams over all nodes. */
export interface StreamOrigins {
  /** Finds the origin of the stream that a request resumes. */
  resolve(request: RoutedRequest): Promise<ResolvedOrigin>;
  /** Called when the first event of a stream is sent to its caller. */
  recordBegun(request: RoutedRequest, origin: StreamOrigin): void;
  /** Called when a stream has reached its caller completely. */
  recordComplete(request: RoutedRequest): void;
}

/** What nodes know of the origin of one stream. */
export interface OriginEvidence {
  /** Undefined if no node that was asked knows it. */
  readonly origin: StreamOrigin | undefined;
  /** Versions that upstreams of the service had while it may have begun. */
  readonly recentVersions: ReadonlySet<string>;
  /**
   * Whether it cannot have begun at any other version. A node that has started
   * a short time ago has no memory of such versions, which proves nothing.
   */
  readonly isComplete: boolean;
}

/**
 * Derives the origin of a resumed stream. Without a record of it, the stream can
 * only have begun at the one version that was there, if all of them are known.
 */
export function resolveOrigin(
  service: string,
  {origin, recentVersions, isComplete}: OriginEvidence,
): ResolvedOrigin {
  if (origin) {
    return origin.service === service
      ? {knowledge: OriginKnowledge.KNOWN, origin}
      : unknownOrigin(UnknownOriginReason.OTHER_SERVICE);
  }
  const [softwareVersion] = recentVersions;
  if (recentVersions.size > 1)
    return unknownOrigin(UnknownOriginReason.SEVERAL_VERSIONS);
  if (!isComplete)
    return unknownOrigin(UnknownOriginReason.UNCONFIRMED_VERSIONS);
  return softwareVersion === undefined
    ? {knowledge: OriginKnowledge.NO_VERSION}
    : {knowledge: OriginKnowledge.KNOWN, origin: {service, softwareVersion}};
}

function unknownOrigin(reason: UnknownOriginReason): ResolvedOrigin {
  return {knowledge: OriginKnowledge.UNKNOWN, reason};
}
