import type {FaultAtStep} from '../../matrix/run_cell.js';

import {expect} from 'chai';

import {createFaultMatrix} from '../../matrix/fault_matrix.js';
import {cellName, runCell} from '../../matrix/run_cell.js';
import {Fault, Step} from '../../world/fault.js';

const SEED = 1;

/** At least one fault per path; `npm run faults` runs the whole matrix. */
const SAMPLED_FAULTS: readonly FaultAtStep[] = [
  {step: Step.CLAIM, fault: Fault.LOST_REPLY},
  {step: Step.CLAIM, fault: Fault.KILL_AFTER},
  {step: Step.SEND, fault: Fault.KILL_AFTER},
  {step: Step.SEND, fault: Fault.LATE},
  {step: Step.SEND, fault: Fault.CRASH},
  {step: Step.FIRST_BYTE, fault: Fault.CUT},
  {step: Step.END, fault: Fault.CRASH},
  {step: Step.OUTCOME, fault: Fault.STORE_DOWN},
  {step: Step.WRITE_HEAD, fault: Fault.LOST_REPLY},
  {step: Step.WRITE_HEAD, fault: Fault.KILL},
  {step: Step.WATCH, fault: Fault.STALE_READ},
  {step: Step.SPREAD, fault: Fault.CUT},
  {step: Step.LEASE, fault: Fault.LEASE_LAPSE},
  {step: Step.INTENT, fault: Fault.KILL_AFTER},
  {step: Step.ORDER, fault: Fault.LATE},
  {step: Step.ORDER, fault: Fault.FREEZE},
  {step: Step.SETTLE, fault: Fault.STORE_SLOW},
  {step: Step.GOSSIP, fault: Fault.ONE_WAY_CUT},
];

/*
 * Guards against a step of a path at which a fault breaks an invariant, and
 * against a fault that is missing from the matrix without a stated reason.
 */
describe('fault matrix', () => {
  for (const placed of SAMPLED_FAULTS) {
    const cell = {faults: [placed]};
    it(`keeps all invariants in ${cellName(cell)}`, async () => {
      const result = await runCell(cell, SEED);
      expect(result.firedFaultCount, 'injected faults').to.equal(1);
      expect(result.violations).to.deep.equal([]);
    });
  }

  it('has every fault at every step, or a reason why it cannot occur', () => {
    const {possible, impossible} = createFaultMatrix();
    const all = Object.values(Step).length * Object.values(Fault).length;
    expect(possible.length + impossible.length).to.equal(all);
    for (const {reason} of impossible) expect(reason).to.not.equal('');
  });
});
