import {HostKind, HostState} from '@arbutustide/upstream';

import {ProcessCluster} from '../processes/process_cluster.js';
import {startBenchWorker} from './bench_worker.js';
import {runClosedLoopLoad} from './closed_loop_load.js';
import {median, quantile} from './statistics.js';

const ROUND_COUNT = 5;
const ROUND_DURATION_MILLISECONDS = 1_500;
const CONNECTION_COUNTS = [1, 32, 256];

const CATALOGUE = `
[[classes]]
name = "interactive"
deadline_milliseconds = 30000
first_token_milliseconds = 810
progress_milliseconds = 5000
priority = 1

[[entries]]
name = "fast-model"
kind = "model"
owner = "bench"
class = "interactive"
memory_bytes = 1
maximum_in_flight = 100000
`;

/** Comparison of a node with a bare relay; the member names are printed. */
export interface RelayComparison {
  readonly connections: number;
  readonly mode: string;
  readonly bareRequestsPerSecond: number;
  readonly nodeRequestsPerSecond: number;
  readonly ratio: number;
  readonly addedMedianMilliseconds: number;
  readonly addedP99Milliseconds: number;
  readonly failures: number;
}

/** Compares a node with a bare relay; their rounds alternate within one run. */
export async function runRelayBench(): Promise<RelayComparison[]> {
  const upstream = await startBenchWorker({kind: 'upstream'});
  const bare = await startBenchWorker({kind: 'relay', upstream: upstream.url});
  const cluster = new ProcessCluster({
    routing: {upstreamConcurrency: 10_000},
  });
  try {
    const nodeUrl = await startMeasuredNode(cluster, upstream.url);
    const figures: RelayComparison[] = [];
    for (const isStream of [false, true]) {
      for (const connections of CONNECTION_COUNTS) {
        const roundOptions = {connections, isStream};
        figures.push(await compareRelays(bare.url, nodeUrl, roundOptions));
      }
    }
    return figures;
  } finally {
    await cluster.stop();
    await Promise.all([upstream.stop(), bare.stop()]);
  }
}

async function startMeasuredNode(
  cluster: ProcessCluster,
  upstreamUrl: string,
): Promise<string> {
  await cluster.startPlatform();
  await cluster.registerHost({
    id: 'fast',
    kind: HostKind.ENGINE,
    url: upstreamUrl,
    region: 'island',
    failureDomain: 'north',
    state: HostState.LIVE,
    checksFencing: true,
  });
  const node = await cluster.startNode('node', 'north');
  await cluster.applyCatalogue(CATALOGUE);
  await cluster.waitUntil('the node answers without failures', async () => {
    const roundOptions = {url: node.callerUrl, connections: 1, isStream: false};
    const result = await runClosedLoopLoad({
      ...roundOptions,
      durationMilliseconds: 50,
    });
    return result.failures === 0;
  });
  return node.callerUrl;
}

async function compareRelays(
  bareUrl: string,
  nodeUrl: string,
  roundOptions: {readonly connections: number; readonly isStream: boolean},
): Promise<RelayComparison> {
  const rounds: {bare: RoundFigures; node: RoundFigures}[] = [];
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    const bare = await measureRound(bareUrl, roundOptions);
    const node = await measureRound(nodeUrl, roundOptions);
    rounds.push({bare, node});
  }
  const medianOf = (select: (round: (typeof rounds)[number]) => number) =>
    median(rounds.map(select));
  return {
    connections: roundOptions.connections,
    mode: roundOptions.isStream ? 'streamed' : 'whole',
    bareRequestsPerSecond: Math.round(
      medianOf(({bare}) => bare.requestsPerSecond),
    ),
    nodeRequestsPerSecond: Math.round(
      medianOf(({node}) => node.requestsPerSecond),
    ),
    ratio: medianOf(
      ({bare, node}) => node.requestsPerSecond / bare.requestsPerSecond,
    ),
    addedMedianMilliseconds: medianOf(
      ({bare, node}) => node.medianMilliseconds - bare.medianMilliseconds,
    ),
    addedP99Milliseconds: medianOf(
      ({bare, node}) => node.p99Milliseconds - bare.p99Milliseconds,
    ),
    failures: rounds.reduce(
      (sum, {bare, node}) => sum + bare.failures + node.failures,
      0,
    ),
  };
}

/** Measurements of one round of load on one relay. */
interface RoundFigures {
  readonly requestsPerSecond: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  readonly failures: number;
}

async function measureRound(
  url: string,
  roundOptions: {readonly connections: number; readonly isStream: boolean},
): Promise<RoundFigures> {
  const milliseconds = ROUND_DURATION_MILLISECONDS;
  const result = await runClosedLoopLoad({
    ...roundOptions,
    url,
    durationMilliseconds: milliseconds,
  });
  return {
    requestsPerSecond: result.requestsPerSecond,
    medianMilliseconds: median(result.latenciesMilliseconds),
    p99Milliseconds: quantile(result.latenciesMilliseconds, 0.99),
    failures: result.failures,
  };
}
