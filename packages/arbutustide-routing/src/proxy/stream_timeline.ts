/** Timing of a stream's events, in milliseconds. */
export interface StreamTiming {
  /** From the request's arrival to the first event; undefined if none came. */
  readonly firstEventMilliseconds: number | undefined;
  readonly longestPauseMilliseconds: number;
  /** From the last event to the end; undefined if none came. */
  readonly sinceLastEventMilliseconds: number | undefined;
}

/** When the events of a stream came. */
export class StreamTimeline {
  private firstEventAtMilliseconds: number | undefined;
  private lastEventAtMilliseconds = 0;
  private longestPauseMilliseconds = 0;

  constructor(private readonly arrivedAtMilliseconds: number) {}

  get hasEvents(): boolean {
    return this.firstEventAtMilliseconds !== undefined;
  }

  /** Records that events have come. */
  recordEvents(): void {
    const now = performance.now();
    if (this.firstEventAtMilliseconds === undefined)
      this.firstEventAtMilliseconds = now;
    else
      this.longestPauseMilliseconds = Math.max(
        this.longestPauseMilliseconds,
        now - this.lastEventAtMilliseconds,
      );
    this.lastEventAtMilliseconds = now;
  }

  get timing(): StreamTiming {
    const {firstEventAtMilliseconds: firstEventAt} = this;
    const hasEvents = firstEventAt !== undefined;
    return {
      firstEventMilliseconds: hasEvents
        ? firstEventAt - this.arrivedAtMilliseconds
        : undefined,
      longestPauseMilliseconds: this.longestPauseMilliseconds,
      sinceLastEventMilliseconds: hasEvents
        ? performance.now() - this.lastEventAtMilliseconds
        : undefined,
    };
  }
}
