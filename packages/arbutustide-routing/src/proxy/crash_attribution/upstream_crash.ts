import type {UpstreamProcess} from '../departed_upstreams.js';

/** Requests that were lost when a process ended. */
export interface LostRequests {
  /** Ids of the prompt segments that they share with other requests. */
  readonly segments: ReadonlySet<string>;
  readonly requestCount: number;
}

/** A process of an upstream that ended, and what may have caused it. */
export interface UpstreamCrash {
  readonly process: UpstreamProcess;
  /** Requests whose answers had begun a short time before. */
  readonly begun: LostRequests;
  /** Requests without an answer, which may have waited at the upstream. */
  readonly unbegun: LostRequests;
}

/** A crash, with the time at which this node learned of it (monotonic). */
export interface RecordedCrash extends UpstreamCrash {
  readonly recordedAtMilliseconds: number;
}

/** Identifies one process of an upstream. */
export function processKey({id, startedAt}: UpstreamProcess): string {
  return `${id} ${startedAt}`;
}

/** The crash as it appears with the requests that two nodes lost in it. */
export function mergeCrashes<T extends UpstreamCrash>(
  left: T,
  right: UpstreamCrash,
): T {
  return {
    ...left,
    begun: mergeLost(left.begun, right.begun),
    unbegun: mergeLost(left.unbegun, right.unbegun),
  };
}

function mergeLost(left: LostRequests, right: LostRequests): LostRequests {
  return {
    segments: new Set([...left.segments, ...right.segments]),
    requestCount: left.requestCount + right.requestCount,
  };
}
