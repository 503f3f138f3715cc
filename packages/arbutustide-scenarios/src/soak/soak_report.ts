/** What a soak counted. The last five must be zero. */
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

/** An empty report. */
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

/** Whether nothing happened that must never happen. */
export function hasPassed(report: SoakReport): boolean {
  const forbidden =
    report.doubleRuns +
    report.mixedOrPartialAnswers +
    report.overcommits +
    report.revertedRevisions +
    report.requestsCutByStops;
  return forbidden === 0 && report.answered > 0;
}

/** The report as lines to print. */
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
