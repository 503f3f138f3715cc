import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';

/** Longer waits are logged even if nothing is refused. */
const LONG_WAIT_MILLISECONDS = 250;
/** Least time between two log lines. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Kinds of refused requests that a log line names. */
const MAXIMUM_LOGGED_KINDS = 16;
const MILLISECONDS_PER_SECOND = 1_000;

/** Where waits and refusals are recorded. */
export interface OverloadRecords {
  readonly logger: Pick<NodeLogger, 'warn'>;
  readonly metrics: Pick<NodeMetrics, 'turnWaitSeconds' | 'arrivalsRefused'>;
  /** Number of requests that wait for their turn. */
  readonly countWaiting: () => number;
}

/**
 * Records how far the event loop is behind and what is refused because of it.
 * The log gets one line a second at most, however many requests are refused.
 */
export class OverloadRecorder {
  private readonly refusedByKind = new Map<string, number>();
  private longestWaitMilliseconds = 0;
  private logTimer: NodeJS.Timeout | undefined;

  constructor(private readonly records: OverloadRecords) {}

  /** Records that a request waited for its turn for so long. */
  recordWait(milliseconds: number): void {
    const seconds = milliseconds / MILLISECONDS_PER_SECOND;
    this.records.metrics.turnWaitSeconds.observe(seconds);
    if (milliseconds < LONG_WAIT_MILLISECONDS) return;
    this.longestWaitMilliseconds = Math.max(
      this.longestWaitMilliseconds,
      milliseconds,
    );
    this.scheduleLine();
  }

  /** Records that a request was refused when it arrived. */
  recordRefusal(kind: string): void {
    this.records.metrics.arrivalsRefused.inc({entry: kind});
    this.refusedByKind.set(kind, 1 + (this.refusedByKind.get(kind) ?? 0));
    this.scheduleLine();
  }

  private scheduleLine(): void {
    this.logTimer ??= setTimeout(
      () => this.writeLine(),
      LOG_INTERVAL_MILLISECONDS,
    ).unref();
  }

  private writeLine(): void {
    this.logTimer = undefined;
    const counts = [...this.refusedByKind].sort(
      ([, left], [, right]) => right - left,
    );
    const refused = counts.reduce((sum, [, count]) => sum + count, 0);
    this.records.logger.warn(
      {
        waitMilliseconds: Math.round(this.longestWaitMilliseconds),
        waiting: this.records.countWaiting(),
        refused,
        refusedByKind: Object.fromEntries(
          counts.slice(0, MAXIMUM_LOGGED_KINDS),
        ),
      },
      'loop is behind',
    );
    this.refusedByKind.clear();
    this.longestWaitMilliseconds = 0;
  }
}
