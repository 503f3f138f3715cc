import type {HandoverAction} from './handover_decision.js';
import type {OpenStream} from './open_stream.js';

/** What a node that stops has done for its streams, and what is left of them. */
export interface HandoverSummary {
  /** Number of streams that have not ended. */
  readonly openStreams: number;
  /** Number of these by why they were last left where they are. */
  readonly stayReasons: Readonly<Record<string, number>>;
  /** Number of handovers begun, by route and action. */
  readonly begun: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/** Name of streams that were not looked at, or handed over at once. */
const NO_STAY_REASON = 'none';

/** Counts the handovers of a node by route and action. */
export class HandoverTally {
  private readonly begunByRoute = new Map<string, Map<string, number>>();

  recordBegun(route: string, action: HandoverAction): void {
    const counts = this.begunByRoute.get(route) ?? new Map<string, number>();
    this.begunByRoute.set(route, counts);
    increment(counts, action);
  }

  summarize(openStreams: ReadonlySet<OpenStream>): HandoverSummary {
    const stayReasons = new Map<string, number>();
    for (const {stayReason = NO_STAY_REASON} of openStreams)
      increment(stayReasons, stayReason);
    const begun = [...this.begunByRoute].map(
      ([route, counts]) => [route, Object.fromEntries(counts)] as const,
    );
    return {
      openStreams: openStreams.size,
      stayReasons: Object.fromEntries(stayReasons),
      begun: Object.fromEntries(begun),
    };
  }
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
