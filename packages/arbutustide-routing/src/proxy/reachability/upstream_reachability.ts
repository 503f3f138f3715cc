/**
 * Whether this node has a path to one process of an upstream. It says nothing of
 * the upstream's health: other nodes may reach it.
 */
export class UpstreamReachability {
  private lostAttemptBeganAtMilliseconds = -Infinity;
  private answeredAttemptBeganAtMilliseconds = -Infinity;
  private lastDataAtMilliseconds = -Infinity;
  private attemptsUnderWay = 0;
  private waitingSinceMilliseconds = 0;
  private isPresumedLost = false;
  private readonly lossListeners = new Set<() => void>();

  /** Whether new requests must not be sent on a connection of this node. */
  get isLost(): boolean {
    return this.isPresumedLost || this.hasFailed;
  }

  /** Whether the latest attempt whose outcome is known found no path. */
  get hasFailed(): boolean {
    return (
      this.lostAttemptBeganAtMilliseconds >
      this.answeredAttemptBeganAtMilliseconds
    );
  }

  /** When the latest attempt began that found no path (monotonic clock). */
  get failedAttemptBeganAt(): number {
    return this.hasFailed ? this.lostAttemptBeganAtMilliseconds : -Infinity;
  }

  /** When the upstream last sent anything to this node (monotonic clock). */
  get lastDataAt(): number {
    return this.lastDataAtMilliseconds;
  }

  /**
   * Time for which requests have been under way without any data, in
   * milliseconds; zero if none is.
   */
  get silentMilliseconds(): number {
    if (this.attemptsUnderWay === 0) return 0;
    const since = Math.max(
      this.waitingSinceMilliseconds,
      this.lastDataAtMilliseconds,
    );
    return performance.now() - since;
  }

  /** Counts a request as under way. */
  recordAttemptBegun(): void {
    if (this.attemptsUnderWay === 0)
      this.waitingSinceMilliseconds = performance.now();
    this.attemptsUnderWay += 1;
  }

  recordAttemptEnded(): void {
    this.attemptsUnderWay -= 1;
  }

  /** Records that the upstream has sent something. */
  recordData(): void {
    this.lastDataAtMilliseconds = performance.now();
  }

  /**
   * Records the answer to a request or probe.
   *
   * @param beganAtMilliseconds when it was begun (monotonic clock).
   */
  recordAnswer(beganAtMilliseconds: number): void {
    this.recordData();
    this.answeredAttemptBeganAtMilliseconds = Math.max(
      this.answeredAttemptBeganAtMilliseconds,
      beganAtMilliseconds,
    );
  }

  /**
   * Records that an attempt to reach the upstream found no path.
   *
   * @param beganAtMilliseconds when it was begun (monotonic clock).
   */
  recordNoPath(beganAtMilliseconds: number): void {
    this.lostAttemptBeganAtMilliseconds = Math.max(
      this.lostAttemptBeganAtMilliseconds,
      beganAtMilliseconds,
    );
  }

  /**
   * Takes the upstream for lost, because its service is cut off, until the
   * presumption is withdrawn. Tells the attempts under way.
   */
  presumeLost(): void {
    this.isPresumedLost = true;
    for (const listener of [...this.lossListeners]) listener();
  }

  withdrawPresumption(): void {
    this.isPresumedLost = false;
  }

  /** Forgets that the latest attempt found no path. */
  forgetFailure(): void {
    this.lostAttemptBeganAtMilliseconds = -Infinity;
  }

  /**
   * Registers a callback for when the upstream is presumed lost.
   *
   * @return removes the callback.
   */
  onPresumedLost(listener: () => void): () => void {
    this.lossListeners.add(listener);
    return () => this.lossListeners.delete(listener);
  }
}
