import {delay} from '@arbutustide/errors';

/** Least pause between two broadcasts. */
const MINIMUM_PAUSE_MILLISECONDS = 250;
/**
 * The pause in relation to the time of a broadcast, so that a node that is behind
 * spends little of its time on them.
 */
const PAUSE_FACTOR = 4;
/** A peer that does not answer makes a broadcast long as well. */
const MAXIMUM_PAUSE_MILLISECONDS = 2_000;

/**
 * Spreads changes of holdings before the next gossip round. Changes that come
 * during a broadcast, or in the pause after it, share the next one. Load: a
 * planner that replaces several models a second.
 */
export class HoldingsBroadcaster {
  private isRunning = false;
  private isWanted = false;

  /** @param broadcast sends this node's record to peers. */
  constructor(private readonly broadcast: () => Promise<void>) {}

  /** Broadcasts the holdings as soon as the pause allows. */
  request(): void {
    this.isWanted = true;
    if (!this.isRunning) void this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.isWanted) {
      this.isWanted = false;
      const startedAt = performance.now();
      await this.broadcast();
      const taken = performance.now() - startedAt;
      const pause = Math.max(MINIMUM_PAUSE_MILLISECONDS, PAUSE_FACTOR * taken);
      await delay(Math.min(pause, MAXIMUM_PAUSE_MILLISECONDS));
    }
    this.isRunning = false;
  }
}
