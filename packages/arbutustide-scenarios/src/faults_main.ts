import type {MatrixCell, CellResult} from './matrix/run_cell.js';

import {once} from 'node:events';
import {availableParallelism} from 'node:os';
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from 'node:worker_threads';

import {Command} from 'commander';

import {drawFaultPairs, createFaultMatrix} from './matrix/fault_matrix.js';
import {cellName, runCell} from './matrix/run_cell.js';

const DEFAULT_SEED = '1';
const DEFAULT_PAIR_COUNT = '150';

interface FaultsOptions {
  readonly seed: string;
  readonly pairs?: string | boolean;
  readonly only?: string;
}

/** The cells that one worker thread runs. */
interface WorkerJob {
  readonly cells: readonly MatrixCell[];
  readonly seed: number;
}

async function main(): Promise<void> {
  const program = new Command('faults')
    .description(
      'Runs every fault at every step and checks the invariants in each.',
    )
    .option('--seed <number>', 'makes a run repeatable', DEFAULT_SEED)
    .option(
      '--pairs [count]',
      'runs random pairs of faults instead, drawn by the seed',
    )
    .option('--only <text>', 'runs only cells whose name contains this')
    .parse();
  const options = program.opts<FaultsOptions>();
  const seed = Number(options.seed);
  const {possible, impossible} = createFaultMatrix();
  const pairs = Number(
    options.pairs === true ? DEFAULT_PAIR_COUNT : options.pairs,
  );
  const candidates = options.pairs ? drawFaultPairs(pairs, seed) : possible;
  const cells = candidates.filter(cell =>
    cellName(cell).includes(options.only ?? ''),
  );
  const results = await runInWorkers(cells, seed);
  process.exitCode = printReport(results, seed);
  if (options.pairs) return;
  for (const {cell, reason} of impossible) {
    printLine(`not possible ${cellName(cell)}: ${reason}`);
  }
  printLine(`cells not possible: ${impossible.length}`);
}

async function runInWorkers(
  cells: readonly MatrixCell[],
  seed: number,
): Promise<CellResult[]> {
  const workerCount = Math.max(1, availableParallelism() - 1);
  const shares = Array.from({length: workerCount}, (_empty, index) =>
    cells.filter((_cell, position) => position % workerCount === index),
  );
  const results = await Promise.all(
    shares.map(share => runCellsInWorker(share, seed)),
  );
  return results.flat();
}

async function runCellsInWorker(
  cells: readonly MatrixCell[],
  seed: number,
): Promise<CellResult[]> {
  const results: CellResult[] = [];
  const job: WorkerJob = {cells, seed};
  const worker = new Worker(__filename, {workerData: job});
  worker.on('message', (result: CellResult) => results.push(result));
  await once(worker, 'exit');
  return results;
}

async function runWorkerJob({cells, seed}: WorkerJob): Promise<void> {
  for (const cell of cells) {
    parentPort?.postMessage(await runCell(cell, seed));
  }
}

/** Prints the results and returns the exit code of the process. */
function printReport(results: readonly CellResult[], seed: number): number {
  const failed = results.filter(hasFailed);
  for (const {cell, firedFaultCount: fired, violations} of failed) {
    printLine(`FAILED ${cellName(cell)} (seed ${seed})`);
    if (fired === 0) printLine('  its step was not reached');
    for (const {invariant, evidence} of violations) {
      printLine(`  ${invariant}: ${evidence}`);
    }
  }
  const passed = results.length - failed.length;
  const partlyFired = results.filter(
    ({cell, firedFaultCount: fired}) => fired > 0 && fired < cell.faults.length,
  );
  if (partlyFired.length > 0) {
    printLine(
      `cells whose first fault kept the second from its step: ${partlyFired.length}`,
    );
  }
  printLine(`seed: ${seed}`);
  printLine(`cells run: ${results.length}`);
  printLine(`cells passed: ${passed}`);
  return failed.length === 0 ? 0 : 1;
}

/** A cell fails too if none of its faults occurred, as it then tests nothing. */
function hasFailed({firedFaultCount: fired, violations}: CellResult): boolean {
  return fired === 0 || violations.length > 0;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

if (isMainThread) void main();
else void runWorkerJob(workerData as WorkerJob);
