import {HostKind, HostState} from '@arbutustide/upstream';

import {ProcessCluster} from '../processes/process_cluster.js';
import {startBenchWorker} from './bench_worker.js';
import {runLoad} from './load.js';
import {median, quantile} from './quantile.js';

const ROUNDS = 5;
const ROUND_MILLISECONDS = 1_500;
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

/** One line of the result. */
export interface RelayFigures {
  readonly connections: number;
  readonly mode: string;
  readonly bareRequestsPerSecond: number;
  readonly nodeRequestsPerSecond: number;
  readonly ratio: number;
  readonly addedMedianMilliseconds: number;
  readonly addedP99Milliseconds: number;
  readonly failures: number;
}

/** Measures a node against a bare relay, in one run. */
export async function runRelayBench(): Promise<RelayFigures[]> {
  const upstream = await startBenchWorker({kind: 'upstream'});
  const bare = await startBenchWorker({kind: 'relay', upstream: upstream.url});
  const cluster = new ProcessCluster({
    routing: {upstreamConcurrency: 10_000},
  });
  try {
    const nodeUrl = await startMeasuredNode(cluster, upstream.url);
    const figures: RelayFigures[] = [];
    for (const isStream of [false, true]) {
      for (const connections of CONNECTION_COUNTS) {
        const plan = {connections, isStream};
        figures.push(await compare(bare.url, nodeUrl, plan));
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
  await cluster.list({
    id: 'fast',
    kind: HostKind.ENGINE,
    url: upstreamUrl,
    region: 'island',
    failureDomain: 'north',
    state: HostState.LIVE,
    checksFencing: true,
  });
  const node = await cluster.startNode('node', 'north');
  await cluster.apply(CATALOGUE);
  await cluster.until('the node serves', async () => {
    const plan = {url: node.callerUrl, connections: 1, isStream: false};
    const result = await runLoad({...plan, milliseconds: 50});
    return result.failures === 0;
  });
  return node.callerUrl;
}

async function compare(
  bareUrl: string,
  nodeUrl: string,
  plan: {readonly connections: number; readonly isStream: boolean},
): Promise<RelayFigures> {
  const rounds: {bare: RoundFigures; node: RoundFigures}[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const bare = await measure(bareUrl, plan);
    const node = await measure(nodeUrl, plan);
    rounds.push({bare, node});
  }
  const over = (pick: (round: (typeof rounds)[number]) => number) =>
    median(rounds.map(pick));
  return {
    connections: plan.connections,
    mode: plan.isStream ? 'streamed' : 'whole',
    bareRequestsPerSecond: Math.round(over(({bare}) => bare.rate)),
    nodeRequestsPerSecond: Math.round(over(({node}) => node.rate)),
    ratio: over(({bare, node}) => node.rate / bare.rate),
    addedMedianMilliseconds: over(({bare, node}) => node.p50 - bare.p50),
    addedP99Milliseconds: over(({bare, node}) => node.p99 - bare.p99),
    failures: rounds.reduce(
      (sum, {bare, node}) => sum + bare.failures + node.failures,
      0,
    ),
  };
}

interface RoundFigures {
  readonly rate: number;
  readonly p50: number;
  readonly p99: number;
  readonly failures: number;
}

async function measure(
  url: string,
  plan: {readonly connections: number; readonly isStream: boolean},
): Promise<RoundFigures> {
  const milliseconds = ROUND_MILLISECONDS;
  const result = await runLoad({...plan, url, milliseconds});
  return {
    rate: result.requestsPerSecond,
    p50: median(result.latencies),
    p99: quantile(result.latencies, 0.99),
    failures: result.failures,
  };
}
