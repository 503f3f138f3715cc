/** An upstream's speed changes several times a second. */
const REPORT_DECAY_MILLISECONDS = 500;
/**
 * After some seconds an upstream that got no requests because it was slow counts
 * as usual again, so that it is tried. Shorter, and the trials of many nodes
 * would be a large part of its load.
 */
const AVERAGE_DECAY_MILLISECONDS = 10_000;
/** The average follows reports with this time constant. */
const AVERAGING_MILLISECONDS = 2_000;
/** For reports that follow each other closely. */
const MINIMUM_REPORT_WEIGHT = 0.05;
const USUAL_PERCENT = 100;

/**
 * How long work takes at an upstream, relative to the usual time. The last
 * report counts most while it is fresh, then the average of the reports, which
 * ages out in turn.
 */
export class WorkTime {
  private last = 1;
  private average = 1;
  private reportedAtMilliseconds = -Infinity;
  private hasReport = false;

  /** @param workPercent as reported, 100 is usual. */
  record(workPercent: number): void {
    const average = this.agedAverage();
    const weight = Math.max(
      MINIMUM_REPORT_WEIGHT,
      1 - this.decay(AVERAGING_MILLISECONDS),
    );
    this.last = workPercent / USUAL_PERCENT;
    this.average = average + weight * (this.last - average);
    this.reportedAtMilliseconds = performance.now();
    this.hasReport = true;
  }

  /** Factor on the usual time of a request; undefined without any report. */
  get factor(): number | undefined {
    if (!this.hasReport) return undefined;
    const average = this.agedAverage();
    const weight = this.decay(REPORT_DECAY_MILLISECONDS);
    return average + (this.last - average) * weight;
  }

  private agedAverage(): number {
    return 1 + (this.average - 1) * this.decay(AVERAGE_DECAY_MILLISECONDS);
  }

  private decay(timeConstant: number): number {
    const age = performance.now() - this.reportedAtMilliseconds;
    return Math.exp(-age / timeConstant);
  }
}
