import type {Violation} from '../world/invariants.js';
import type {SimulatedWorld} from '../world/simulated_world.js';

import type {Fault, Step} from '../world/fault.js';
import {findViolations} from '../world/invariants.js';
import {RetryingCaller} from '../world/retrying_caller.js';
import {
  createStandardWorld,
  healAndProbe,
  standardCatalogueToml,
  warmUpWorld,
} from '../world/standard_world.js';

const NODE_NAMES = ['node-1', 'node-2', 'node-3'] as const;
/** Time for the faults to occur, half before the planned stop and half after. */
const FAULT_PHASE_MILLISECONDS = 22_000;
const CALLER_START_INTERVAL_MILLISECONDS = 400;
const CALLER_COUNT = 6;
/** Short enough for orders of the first edit to be in flight at the second. */
const EDIT_INTERVAL_MILLISECONDS = 4_000;

/** A cell of the fault matrix: one fault or two, each at its step. */
export interface MatrixCell {
  readonly faults: readonly FaultAtStep[];
}

/** A fault and the step at which it is injected. */
export interface FaultAtStep {
  readonly step: Step;
  readonly fault: Fault;
}

/** Result of running one cell. */
export interface CellResult {
  readonly cell: MatrixCell;
  /** Number of faults that occurred because their step was reached. */
  readonly firedFaultCount: number;
  readonly violations: readonly Violation[];
}

/** Returns the name of a cell in reports, such as `claim/kill`. */
export function cellName({faults}: MatrixCell): string {
  return faults.map(({step, fault}) => `${step}/${fault}`).join(' + ');
}

/**
 * Exercises all paths of the system in a simulated world with the faults of a
 * cell, then checks the invariants. The paths are streams and releases by
 * retrying callers, two catalogue edits with new versions and adapters, an
 * upstream that leaves and a node that stops.
 */
export async function runCell(
  cell: MatrixCell,
  seed: number,
): Promise<CellResult> {
  const world = createStandardWorld(seed);
  try {
    await warmUpWorld(world);
    for (const {step, fault} of cell.faults)
      world.network.armFault(step, fault);
    await exerciseAllPaths(world);
    await healAndProbe(world);
    return {
      cell,
      firedFaultCount: world.network.firedFaults.length,
      violations: findViolations(world),
    };
  } finally {
    world.close();
  }
}

async function exerciseAllPaths(world: SimulatedWorld): Promise<void> {
  startRetryingCallers(world);
  await world.advance(1_000);
  const firstEdit = standardCatalogueToml({
    version: '2',
    hasPowderAdapter: true,
  });
  void world.applyCatalogue(firstEdit);
  await world.advance(EDIT_INTERVAL_MILLISECONDS);
  const secondEdit = standardCatalogueToml({
    version: '3',
    hasPowderAdapter: false,
  });
  void world.applyCatalogue(secondEdit);
  await world.advance(FAULT_PHASE_MILLISECONDS / 2);
  world.announceLeaving('release-1');
  startLongStreams(world);
  await world.advance(500);
  world.stopNode('node-1');
  await world.advance(FAULT_PHASE_MILLISECONDS / 2);
}

function startRetryingCallers(world: SimulatedWorld): void {
  for (let index = 0; index < CALLER_COUNT; index += 1) {
    const nodeNames = NODE_NAMES.map(
      (_name, shift) => NODE_NAMES[(index + shift) % NODE_NAMES.length],
    );
    const isRelease = index % 2 === 0;
    const requestId = `${isRelease ? 'release' : 'stream'}-${index}`;
    const caller = new RetryingCaller(world, nodeNames, {
      requestId,
      entry: isRelease ? 'release' : 'certificate-marine',
      content: requestId,
      tokenCount: 10,
      isStream: !isRelease,
      idempotencyKey: isRelease ? requestId : undefined,
    });
    setTimeout(
      () => caller.start(),
      index * CALLER_START_INTERVAL_MILLISECONDS,
    );
  }
}

function startLongStreams(world: SimulatedWorld): void {
  for (const [index, nodeName] of NODE_NAMES.entries()) {
    world.sendRequest(nodeName, {
      requestId: `long-${index}`,
      entry: 'certificate-writer',
      content: `long-${index}`,
      tokenCount: 80,
      isStream: true,
    });
  }
}
