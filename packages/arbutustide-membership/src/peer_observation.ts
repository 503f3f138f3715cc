import type {
  UpstreamObservation,
  UpstreamRateLimit,
} from './gen/arbutustide/membership/v1/membership_pb.js';

/** A report of an upstream, as another node read and published it. */
export interface PeerObservation {
  readonly observation: UpstreamObservation;
  /** Sequence in the writer's record; a higher one is a newer report. */
  readonly sequence: number;
  /** Identity of the node that read the report. */
  readonly writer: string;
}

/** The rate limit of an upstream, as another node published it. */
export interface PeerRateLimit {
  readonly limit: UpstreamRateLimit;
  /** Sequence in the writer's record; a higher one is newer. */
  readonly sequence: number;
  /** Identity of the node that published it. */
  readonly writer: string;
}
