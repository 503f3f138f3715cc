/** Until the record of the node that called has come by gossip. */
const RETENTION_MILLISECONDS = 2_000;
/** Entries kept; more than a fleet can want newly within the time above. */
const MAXIMUM_ENTRIES = 1_024;

/**
 * Models that nodes have called for. A planner learns of a demand by such a call
 * before it sees the demand in the nodes' records.
 */
export class WantedModels {
  private readonly calledAtMilliseconds = new Map<string, number>();

  /** Records that a node has requests for a model that no upstream holds. */
  record(entry: string): void {
    const {calledAtMilliseconds} = this;
    calledAtMilliseconds.delete(entry);
    calledAtMilliseconds.set(entry, performance.now());
    const [oldest] = calledAtMilliseconds.keys();
    if (oldest !== undefined && calledAtMilliseconds.size > MAXIMUM_ENTRIES)
      calledAtMilliseconds.delete(oldest);
  }

  /** Requests that are known only by calls: one, or none. */
  count(entry: string): number {
    const calledAt = this.calledAtMilliseconds.get(entry);
    if (calledAt === undefined) return 0;
    if (performance.now() - calledAt < RETENTION_MILLISECONDS) return 1;
    this.calledAtMilliseconds.delete(entry);
    return 0;
  }
}
