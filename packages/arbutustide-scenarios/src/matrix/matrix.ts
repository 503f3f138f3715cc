import type {Cell} from './run_cell.js';

import seedrandom from 'seedrandom';

import {Fault, Step} from '../world/fault.js';
import {findExclusionReason} from './cell_exclusions.js';

/** A cell that cannot be, and why. */
export interface ImpossibleCell {
  readonly cell: Cell;
  readonly reason: string;
}

/** The matrix: every fault at every step. */
export interface FaultMatrix {
  readonly possible: readonly Cell[];
  readonly impossible: readonly ImpossibleCell[];
}

/** Every fault at every step. */
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

/** Two faults together, drawn at random from the possible cells. */
export function faultPairs(count: number, seed: number): Cell[] {
  const random = seedrandom(String(seed));
  const {possible} = singleFaults();
  const draw = () => possible[Math.floor(random() * possible.length)];
  return Array.from({length: count}, () => ({
    faults: [...draw().faults, ...draw().faults],
  }));
}
