import type {UpstreamDescription} from './proxy_upstream.js';

/**
 * How long a departure is remembered. Longer than an upstream takes to exit,
 * and longer than a restored copy of the store is old.
 */
const RETENTION_MILLISECONDS = 120_000;

/** Identifies one process of an upstream. */
export type UpstreamProcess = Pick<UpstreamDescription, 'id' | 'startedAt'>;

/**
 * Time for which a departure seen in an answer is passed on to the other nodes.
 * Afterwards the platform's list shows it.
 */
const PUBLICATION_MILLISECONDS = 15_000;

/** How a departure became known. */
export enum DepartureSource {
  /** An answer of the upstream to this node said so; final for the process. */
  ANSWER = 'answer',
  /** The platform's list or a peer said so; final for the process. */
  REPORT = 'report',
  /** Its entry was removed from the list; the process may list itself again. */
  REMOVAL = 'removal',
}

interface Departure {
  readonly startedAt: number;
  readonly source: DepartureSource;
  readonly recordedAtMilliseconds: number;
}

/**
 * Remembers which processes of upstreams are leaving or have left. A list that
 * is out of date, for example from a store that was restored from a copy, may
 * still show them as ready.
 */
export class DepartedUpstreams {
  private readonly departuresById = new Map<string, Departure>();

  /**
   * Records a departure, unless it is known to be final or a later process of
   * the upstream has departed.
   */
  record({id, startedAt}: UpstreamProcess, source: DepartureSource): void {
    if (this.hasAnnounced({id, startedAt})) return;
    const known = this.departuresById.get(id);
    if (known && known.startedAt > startedAt) return;
    this.dropExpired();
    // Reinserted, so that the map stays ordered by age.
    this.departuresById.delete(id);
    this.departuresById.set(id, {
      startedAt,
      source,
      recordedAtMilliseconds: performance.now(),
    });
  }

  /** Records that a process has listed itself again after its removal. */
  recordListedAgain(process: UpstreamProcess): void {
    if (this.find(process)?.source === DepartureSource.REMOVAL)
      this.departuresById.delete(process.id);
  }

  /** Whether this process of the upstream said that it is leaving. */
  hasAnnounced(process: UpstreamProcess): boolean {
    const departure = this.find(process);
    return (
      departure !== undefined && departure.source !== DepartureSource.REMOVAL
    );
  }

  /** Whether this process of the upstream is leaving or was removed. */
  hasDeparted(process: UpstreamProcess): boolean {
    return this.find(process) !== undefined;
  }

  /** Departures that this node saw in answers a short time ago. */
  *recentlyObserved(): Generator<UpstreamProcess> {
    const oldest = performance.now() - PUBLICATION_MILLISECONDS;
    for (const [id, departure] of this.departuresById) {
      const {startedAt, source, recordedAtMilliseconds} = departure;
      if (source !== DepartureSource.ANSWER) continue;
      if (recordedAtMilliseconds >= oldest) yield {id, startedAt};
    }
  }

  private find({id, startedAt}: UpstreamProcess): Departure | undefined {
    const departure = this.departuresById.get(id);
    return departure?.startedAt === startedAt ? departure : undefined;
  }

  private dropExpired(): void {
    const oldest = performance.now() - RETENTION_MILLISECONDS;
    for (const [id, {recordedAtMilliseconds}] of this.departuresById) {
      if (recordedAtMilliseconds >= oldest) return;
      this.departuresById.delete(id);
    }
  }
}
