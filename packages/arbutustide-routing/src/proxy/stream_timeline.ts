/** Timing of a stream's events, in milliseconds. */
export interface StreamTiming {
  /** From the request's arrival to the first event; undefined if none came. */
  readonly firstEventMilliseconds: number | undefined;
  /** From the first event to the end; undefined if none came. */
  readonly sinceFirstEventMilliseconds: number | undefined;
  readonly longestPauseMilliseconds: number;
  /** From the last event to the end; undefined if none came. */
  readonly sinceLastEventMilliseconds: number | undefined;
}

/** Pauses from which the usual one is taken. */
const RECENT_PAUSES = 9;
/** Fewer pauses tell little of the longest one. */
const MINIMUM_PAUSES = 3;

/** When the events of a stream came, and how long its upstream was awaited. */
export class StreamTimeline {
  private firstEventAtMilliseconds: number | undefined;
  private lastEventAtMilliseconds = 0;
  private longestPauseMilliseconds = 0;
  private waitingSinceMilliseconds: number | undefined;
  private readonly recentPauses: number[] = [];
  private isHandedOver = false;

  constructor(private readonly arrivedAtMilliseconds: number) {}

  get hasEvents(): boolean {
    return this.firstEventAtMilliseconds !== undefined;
  }

  /**
   * How long the upstream has kept this node waiting; zero while the caller has
   * not taken the events that came.
   */
  get stalledMilliseconds(): number {
    const {waitingSinceMilliseconds: waitingSince} = this;
    return waitingSince === undefined ? 0 : performance.now() - waitingSince;
  }

  /** Median of the latest pauses between events; undefined if there are none. */
  get usualPauseMilliseconds(): number | undefined {
    const sorted = [...this.recentPauses].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)];
  }

  /** Longest of the latest pauses; undefined if there are none. */
  get longestUsualPauseMilliseconds(): number | undefined {
    const {recentPauses} = this;
    return recentPauses.length > 0 ? Math.max(...recentPauses) : undefined;
  }

  /** Whether there were enough pauses to tell how long they are. */
  get hasKnownPace(): boolean {
    return this.recentPauses.length >= MINIMUM_PAUSES;
  }

  /** Records that the next data of the upstream is awaited from now on. */
  recordWaiting(): void {
    this.waitingSinceMilliseconds = performance.now();
  }

  /**
   * Records that the stream goes on at another upstream, whose pace is not known.
   * The pause under way is not the pace of either.
   */
  recordHandedOver(): void {
    this.isHandedOver = true;
    this.recentPauses.length = 0;
  }

  /** Records that no upstream is awaited. */
  recordIdle(): void {
    this.waitingSinceMilliseconds = undefined;
  }

  /** Records that events have come. */
  recordEvents(): void {
    const now = performance.now();
    if (this.firstEventAtMilliseconds === undefined)
      this.firstEventAtMilliseconds = now;
    else this.recordPause(now - this.lastEventAtMilliseconds);
    this.isHandedOver = false;
    this.lastEventAtMilliseconds = now;
    this.waitingSinceMilliseconds = undefined;
  }

  get timing(): StreamTiming {
    const {firstEventAtMilliseconds: firstEventAt} = this;
    const hasEvents = firstEventAt !== undefined;
    const now = performance.now();
    return {
      firstEventMilliseconds: hasEvents
        ? firstEventAt - this.arrivedAtMilliseconds
        : undefined,
      sinceFirstEventMilliseconds: hasEvents ? now - firstEventAt : undefined,
      longestPauseMilliseconds: this.longestPauseMilliseconds,
      sinceLastEventMilliseconds: hasEvents
        ? now - this.lastEventAtMilliseconds
        : undefined,
    };
  }

  private recordPause(milliseconds: number): void {
    this.longestPauseMilliseconds = Math.max(
      this.longestPauseMilliseconds,
      milliseconds,
    );
    if (this.isHandedOver) return;
    this.recentPauses.push(milliseconds);
    if (this.recentPauses.length > RECENT_PAUSES) this.recentPauses.shift();
  }
}
