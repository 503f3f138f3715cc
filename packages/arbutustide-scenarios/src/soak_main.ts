import type {ProcessCluster} from './processes/process_cluster.js';
import type {SoakReport} from './soak/soak_report.js';

import {Command} from 'commander';
import seedrandom from 'seedrandom';

import {delay} from '@arbutustide/errors';
import {fetch} from 'undici';

import {startDemoCluster} from './processes/demo_cluster.js';
import {SoakFaultInjector} from './soak/soak_fault_injector.js';
import {SoakLoadGenerator} from './soak/soak_load_generator.js';
import {
  formatSoakReport,
  hasPassed,
  createSoakReport,
} from './soak/soak_report.js';

const CALLER_COUNT = 12;
const MILLISECONDS_PER_MINUTE = 60_000;
/** Also the timeout of each read of the metrics. */
const REVISION_POLL_INTERVAL_MILLISECONDS = 500;
const SETTLE_DELAY_MILLISECONDS = 5_000;
const REVISION_METRIC = /^arbutustide_catalogue_revision (\d+)$/m;

/** The part of a stand-in service's records that the soak test reads. */
interface ServiceRecords {
  readonly calls: readonly {readonly body: string}[];
}

async function main(): Promise<void> {
  const program = new Command('soak')
    .description(
      'Runs load and random faults on a cluster of separate processes.',
    )
    .option('--minutes <number>', 'duration of the test', '5')
    .option('--seed <number>', 'seed of the random load and faults', '1')
    .parse();
  const {minutes, seed} = program.opts<{minutes: string; seed: string}>();
  const report = createSoakReport();
  const cluster = await startDemoCluster({
    overrides: {
      gossip: {heartbeatMilliseconds: 500, expiryMilliseconds: 4_000},
      planner: {leaseMilliseconds: 2_000, intervalMilliseconds: 300},
      platform: {callTimeoutMilliseconds: 800},
    },
  });
  try {
    await runSoak(cluster, report, Number(minutes), seed);
  } finally {
    for (const text of cluster.unexpectedEnds())
      process.stderr.write(`${text}\n`);
    await cluster.stop();
  }
  process.stdout.write(`seed: ${seed}\n${formatSoakReport(report)}\n`);
  process.exit(hasPassed(report) ? 0 : 1);
}

async function runSoak(
  cluster: ProcessCluster,
  report: SoakReport,
  minutes: number,
  seed: string,
): Promise<void> {
  const soakEnd = new AbortController();
  const load = new SoakLoadGenerator(
    cluster,
    report,
    seedrandom(`load ${seed}`),
  );
  const faults = new SoakFaultInjector(
    cluster,
    load,
    report,
    seedrandom(`faults ${seed}`),
  );
  setTimeout(() => soakEnd.abort(), minutes * MILLISECONDS_PER_MINUTE);
  await Promise.all([
    faults.injectFaults(soakEnd.signal),
    countRevertedRevisions(cluster, report, soakEnd.signal),
    ...Array.from({length: CALLER_COUNT}, () => load.runCaller(soakEnd.signal)),
  ]);
  await delay(SETTLE_DELAY_MILLISECONDS);
  await faults.countOvercommits();
  report.doubleRuns = await countDoubleRuns(cluster);
}

/** Counts how often the catalogue revision of a node goes down. */
async function countRevertedRevisions(
  cluster: ProcessCluster,
  report: SoakReport,
  signal: AbortSignal,
): Promise<void> {
  const lastRevisions = new Map<string, number>();
  while (await delay(REVISION_POLL_INTERVAL_MILLISECONDS, signal)) {
    for (const {controlUrl} of cluster.nodes.values()) {
      const revision = await readRevision(controlUrl);
      if (revision === undefined) continue;
      if (revision < (lastRevisions.get(controlUrl) ?? 0)) {
        report.revertedRevisions += 1;
      }
      lastRevisions.set(controlUrl, revision);
    }
  }
}

async function readRevision(controlUrl: string): Promise<number | undefined> {
  try {
    const response = await fetch(`${controlUrl}/metrics`, {
      signal: AbortSignal.timeout(REVISION_POLL_INTERVAL_MILLISECONDS),
    });
    const revision = REVISION_METRIC.exec(await response.text())?.[1];
    return revision === undefined ? undefined : Number(revision);
  } catch {
    return undefined;
  }
}

/** Counts the requests that services ran more than once. */
async function countDoubleRuns(cluster: ProcessCluster): Promise<number> {
  const runCounts = new Map<string, number>();
  for (const service of cluster.services.values()) {
    const {calls} = (await cluster.fetchRecords(service)) as ServiceRecords;
    for (const {body} of calls)
      runCounts.set(body, (runCounts.get(body) ?? 0) + 1);
  }
  return [...runCounts.values()].filter(count => count > 1).length;
}

void main();
