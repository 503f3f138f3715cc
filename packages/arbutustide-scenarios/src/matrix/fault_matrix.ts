import type {MatrixCell} from './run_cell.js';

import seedrandom from 'seedrandom';

import {Fault, Step} from '../world/fault.js';
import {findExclusionReason} from './cell_exclusions.js';

/** A cell that cannot occur, and the reason. */
export interface ImpossibleCell {
  readonly cell: MatrixCell;
  readonly reason: string;
}

/** All pairs of a step and a fault, divided into cells to run and the others. */
export interface FaultMatrix {
  readonly possible: readonly MatrixCell[];
  readonly impossible: readonly ImpossibleCell[];
}

/** Creates a matrix of every fault at every step. */
export function createFaultMatrix(): FaultMatrix {
  const possible: MatrixCell[] = [];
  const impossible: ImpossibleCell[] = [];
  for (const step of Object.values(Step)) {
    for (const fault of Object.values(Fault)) {
      const cell: MatrixCell = {faults: [{step, fault}]};
      const reason = findExclusionReason(step, fault);
      if (reason === undefined) possible.push(cell);
      else impossible.push({cell, reason});
    }
  }
  return {possible, impossible};
}

/**
 * Draws cells with two faults each. The faults come from possible cells, and
 * the seed determines the draw.
 */
export function drawFaultPairs(count: number, seed: number): MatrixCell[] {
  const random = seedrandom(String(seed));
  const {possible} = createFaultMatrix();
  const draw = () => possible[Math.floor(random() * possible.length)];
  return Array.from({length: count}, () => ({
    faults: [...draw().faults, ...draw().faults],
  }));
}
