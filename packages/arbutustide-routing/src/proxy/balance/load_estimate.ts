import type {UpstreamLoad} from '../proxy_upstream.js';

/**
 * Time constant with which a report loses weight against the counts that nodes
 * exchange, which are 0.7 to 3 s old. Values from 0.3 to 4 s gave nearly the same
 * balance with 35 and 91 nodes; below 1 s more requests found a full engine.
 */
const REPORT_DECAY_MILLISECONDS = 2_000;

/** Requests in flight at an upstream, as counted by the nodes themselves. */
export interface CountedRequests {
  /** Requests of this node, which are known exactly. */
  readonly own: number;
  /** Requests of the other nodes, as they last reported. */
  readonly peers: number;
}

/**
 * Estimates the requests in flight at an upstream from its last report and from
 * the counts of the nodes. A report tells what the other nodes had sent until
 * then; as it ages, the estimate moves from it to what they have told since.
 */
export class LoadEstimate {
  private othersAtReport: number | undefined;
  private reportedAtMilliseconds = 0;

  /** @param own requests of this node in flight when the report arrived. */
  record({running, waiting}: UpstreamLoad, own: number): void {
    this.othersAtReport = Math.max(0, running + waiting - own);
    this.reportedAtMilliseconds = performance.now();
  }

  /** Age of the last report; undefined if there was none. */
  get reportAgeMilliseconds(): number | undefined {
    return this.othersAtReport === undefined
      ? undefined
      : performance.now() - this.reportedAtMilliseconds;
  }

  inFlight({own, peers}: CountedRequests): number {
    if (this.othersAtReport === undefined) return own + peers;
    const age = performance.now() - this.reportedAtMilliseconds;
    const weight = Math.exp(-age / REPORT_DECAY_MILLISECONDS);
    return own + peers + (this.othersAtReport - peers) * weight;
  }
}
