import type {PassSummary} from './engine_planner_environment.js';
import type {UnloadedModels} from './unloaded_models.js';

/** Least time between two summaries. */
const SUMMARY_INTERVAL_MILLISECONDS = 1_000;
/** Models that a summary names. */
const MAXIMUM_NAMED_MODELS = 8;

/** Measures the passes of the planner and summarizes them about once a second. */
export class PassRecorder {
  private passes = 0;
  private orders = 0;
  private longestMilliseconds = 0;
  private longestDelayMilliseconds = 0;
  private summarizedAtMilliseconds = -Infinity;
  private dueAtMilliseconds: number | undefined;

  constructor(
    private readonly unloaded: UnloadedModels,
    private readonly onSummary: (summary: PassSummary) => void,
  ) {}

  /** Forgets what was measured, when this node begins or ends to plan. */
  reset(): void {
    this.dueAtMilliseconds = undefined;
    this.unloaded.clear();
    this.resetCounts();
  }

  recordOrder(): void {
    this.orders += 1;
  }

  /**
   * Records a pass that has just ended.
   *
   * @param pauseMilliseconds pause until the next one is due.
   */
  recordPass(startedAtMilliseconds: number, pauseMilliseconds: number): void {
    const now = performance.now();
    const taken = now - startedAtMilliseconds;
    const due = this.dueAtMilliseconds ?? startedAtMilliseconds;
    this.dueAtMilliseconds = now + pauseMilliseconds;
    this.passes += 1;
    this.longestMilliseconds = Math.max(this.longestMilliseconds, taken);
    this.longestDelayMilliseconds = Math.max(
      this.longestDelayMilliseconds,
      startedAtMilliseconds - due,
    );
    if (now - this.summarizedAtMilliseconds < SUMMARY_INTERVAL_MILLISECONDS)
      return;
    this.summarizedAtMilliseconds = now;
    this.onSummary({
      passes: this.passes,
      orders: this.orders,
      longestPassMilliseconds: Math.round(this.longestMilliseconds),
      longestDelayMilliseconds: Math.round(this.longestDelayMilliseconds),
      unloaded: this.unloaded.countByReason,
      longestWaiting: this.unloaded.longestWaiting(MAXIMUM_NAMED_MODELS),
    });
    this.resetCounts();
  }

  private resetCounts(): void {
    this.passes = 0;
    this.orders = 0;
    this.longestMilliseconds = 0;
    this.longestDelayMilliseconds = 0;
  }
}
