/** How long a quarantine lasts. */
const QUARANTINE_MILLISECONDS = 300_000;

/** A decision about a segment whose requests are not passed on. */
export interface Quarantine {
  readonly segment: string;
  /** Identifies the decision over all nodes, so that it is adopted once. */
  readonly decisionId: string;
  /** Whether the segment has proved harmless since. */
  readonly isLifted: boolean;
}

interface RecordedQuarantine extends Quarantine {
  readonly endsAtMilliseconds: number;
}

/** Decisions on segments, of this node and of its peers. */
export class QuarantineList {
  private readonly bySegment = new Map<string, RecordedQuarantine>();
  /** End of the retention of each decision seen, by its id. */
  private readonly seenDecisions = new Map<string, number>();

  /** Starts a quarantine; false if there is one or the decision was seen. */
  add(segment: string, decisionId: string): boolean {
    if (this.has(segment) || this.seenDecisions.has(decisionId)) return false;
    const now = performance.now();
    // Peers may publish a decision for a while after it has ended here.
    this.seenDecisions.set(decisionId, now + 2 * QUARANTINE_MILLISECONDS);
    this.bySegment.set(segment, {
      segment,
      decisionId,
      isLifted: false,
      endsAtMilliseconds: now + QUARANTINE_MILLISECONDS,
    });
    return true;
  }

  /**
   * Lifts the quarantine of a segment; false if there is none.
   *
   * @param decisionId lifts this decision only, if given.
   */
  lift(segment: string, decisionId?: string): boolean {
    const known = this.bySegment.get(segment);
    if (!known || known.isLifted) return false;
    if (decisionId !== undefined && known.decisionId !== decisionId)
      return false;
    this.bySegment.set(segment, {...known, isLifted: true});
    return true;
  }

  has(segment: string): boolean {
    if (this.bySegment.size === 0) return false;
    this.dropExpired();
    return this.bySegment.get(segment)?.isLifted === false;
  }

  /** Decisions to be published to peers, with those that were lifted. */
  decisions(): Iterable<Quarantine> {
    this.dropExpired();
    return this.bySegment.values();
  }

  private dropExpired(): void {
    const now = performance.now();
    for (const {segment, endsAtMilliseconds} of this.bySegment.values()) {
      if (endsAtMilliseconds <= now) this.bySegment.delete(segment);
    }
    for (const [decisionId, endsAt] of this.seenDecisions) {
      if (endsAt <= now) this.seenDecisions.delete(decisionId);
    }
  }
}
