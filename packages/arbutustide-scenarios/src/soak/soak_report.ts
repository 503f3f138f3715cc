/**
 * Counts of a soak test. The last five are violations and must be zero. The
 * member names are printed.
 */
export interface SoakReport {
  requests: number;
  answered: number;
  readonly refusalsByKind: Map<string, number>;
  connectionsLost: number;
  faults: number;
  doubleRuns: number;
  mixedOrPartialAnswers: number;
  overcommits: number;
  revertedRevisions: number;
  requestsCutByStops: number;
}

/** Creates a report with all counts at zero. */
export function createSoakReport(): SoakReport {
  return {
    requests: 0,
    answered: 0,
    refusalsByKind: new Map(),
    connectionsLost: 0,
    faults: 0,
    doubleRuns: 0,
    mixedOrPartialAnswers: 0,
    overcommits: 0,
    revertedRevisions: 0,
    requestsCutByStops: 0,
  };
}

/** Whether there was no violation and at least one answered request. */
export function hasPassed(report: SoakReport): boolean {
  const violationCount =
    report.doubleRuns +
    report.mixedOrPartialAnswers +
    report.overcommits +
    report.revertedRevisions +
    report.requestsCutByStops;
  return violationCount === 0 && report.answered > 0;
}

/** Formats the report as lines of text. */
export function formatSoakReport(report: SoakReport): string {
  const {refusalsByKind, ...counts} = report;
  const refusals = [...refusalsByKind].map(
    ([kind, count]) => `refused ${kind}: ${count}`,
  );
  const lines = Object.entries(counts).map(([name, count]) => {
    return `${name}: ${String(count)}`;
  });
  return [...lines, ...refusals].join('\n');
}
