import type {BenchWorkerRole} from './bench/bench_worker.js';

import {isMainThread, workerData} from 'node:worker_threads';

import {Command} from 'commander';

import {runBenchWorker} from './bench/bench_worker.js';
import {runCapacityBench} from './bench/capacity_bench.js';
import {runRelayBench} from './bench/relay_bench.js';

async function main(): Promise<void> {
  const program = new Command('bench');
  program
    .command('relay')
    .description('compares the relay of a node with a bare relay')
    .action(async () => printTable(await runRelayBench()));
  program
    .command('capacity')
    .description('measures the slopes for docs/CAPACITY.md')
    .action(() => {
      for (const {title, rows} of runCapacityBench()) {
        process.stdout.write(`\n## ${title}\n\n`);
        printTable(rows);
      }
    });
  await program.parseAsync();
  process.exit(0);
}

/** Prints rows as a Markdown table. */
function printTable(rows: readonly object[]): void {
  const columnNames = Object.keys(rows[0] ?? {});
  const formatRow = (cells: readonly string[]) => `| ${cells.join(' | ')} |\n`;
  process.stdout.write(formatRow(columnNames));
  process.stdout.write(formatRow(columnNames.map(() => '---')));
  for (const row of rows) {
    process.stdout.write(formatRow(Object.values(row).map(formatCell)));
  }
}

function formatCell(value: unknown): string {
  if (typeof value !== 'number' || Number.isInteger(value)) return `${value}`;
  return value.toPrecision(3);
}

if (isMainThread) void main();
else runBenchWorker(workerData as BenchWorkerRole);
