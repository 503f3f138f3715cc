import type {Cell} from './run_cell.js';

import seedrandom from 'seedrandom';

import {Fault, Step} from '../world/fault.js';
import {findExclusionReason} from './cell_exclusions.js';

/** A cell that cannot occur, and the reason. */
export interface ImpossibleCell {
  readonly cell: Cell;
  readonly reason: string;
}

/** All pairs of a step and a fault, divided into cells to run and the others. */
export interface FaultMatrix {
  readonly possible: readonly Cell[];
  readonly impossible: readonly ImpossibleCell[];
}

/** Creates a matrix of every fault at every step. */
export function singleFaults(): FaultMatrix {
  const possible: Cell[] = [];
  const impossible: ImpossibleCell[] = [];
  for (const step of Object.values(Step)) {
    for (const fault of Object.values(Fault)) {
      const cell: Cell = {faults: [{step, fault}]};
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
export function faultPairs(count: number, seed: number): Cell[] {
  const random = seedrandom(String(seed));
  const {possible} = singleFaults();
  const draw = () => possible[Math.floor(random() * possible.length)];
  return Array.from({length: count}, () => ({
    faults: [...draw().faults, ...draw().faults],
  }));
}
