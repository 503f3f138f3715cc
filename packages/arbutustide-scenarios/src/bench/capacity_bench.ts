import {measureDecisions} from './decision_bench.js';
import {measureGossip} from './gossip_bench.js';
import {leastSquaresSlope} from './statistics.js';

/** One table of the capacity benchmark. */
export interface CapacityTable {
  readonly title: string;
  readonly rows: readonly object[];
}

const NODE_COUNTS = [7, 64, 185, 370];
const UPSTREAMS_PER_NODE = 600 / 370;
const CLUSTER_SIZES = [
  {models: 20, adapters: 80, workers: 12, failureDomains: 4},
  {models: 30, adapters: 120, workers: 16, failureDomains: 3},
  {models: 100, adapters: 400, workers: 150, failureDomains: 6},
  {models: 205, adapters: 820, workers: 300, failureDomains: 6},
  {models: 410, adapters: 1_640, workers: 600, failureDomains: 6},
];

/** Measures the figures and slopes that docs/CAPACITY.md is derived from. */
export function runCapacityBench(): CapacityTable[] {
  const gossip = NODE_COUNTS.flatMap(nodes =>
    [true, false].map(isFullPush =>
      measureGossip({
        nodes,
        upstreams: Math.max(12, Math.round(nodes * UPSTREAMS_PER_NODE)),
        isFullPush,
      }),
    ),
  );
  const decisions = CLUSTER_SIZES.map(measureDecisions);
  const slopes = [
    {
      figure: 'gossip bytes/s a node, by nodes',
      slope: leastSquaresSlope(
        gossip
          .filter(({mode}) => mode === 'deltas')
          .map(({nodes, bytesPerSecond}) => ({x: nodes, y: bytesPerSecond})),
      ),
    },
    {
      figure: 'plan milliseconds, by workers',
      slope: leastSquaresSlope(
        decisions.map(({workers, planMilliseconds}) => ({
          x: workers,
          y: planMilliseconds,
        })),
      ),
    },
    {
      figure: 'state bytes, by workers',
      slope: leastSquaresSlope(
        decisions.map(({workers, stateBytes}) => ({x: workers, y: stateBytes})),
      ),
    },
  ];
  return [
    {title: 'Gossip', rows: gossip},
    {title: 'Decisions', rows: decisions},
    {title: 'Slopes', rows: slopes},
  ];
}
