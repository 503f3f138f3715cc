import {Fault, Step} from '../world/fault.js';

/** Steps that read a chunk of the byte stream of one connection. */
const STREAM_STEPS = [Step.FIRST_BYTE, Step.MIDDLE, Step.END];
/** Steps that call the object API. */
const STORE_STEPS = [
  Step.CLAIM,
  Step.OUTCOME,
  Step.WRITE_CONTENT,
  Step.WRITE_HEAD,
  Step.READ_HEAD,
  Step.WATCH,
  Step.LEASE,
  Step.INTENT,
  Step.SETTLE,
];

/** Steps that read the object API. */
const STORE_READ_STEPS = [Step.READ_HEAD, Step.WATCH];

/** Faults that cannot occur at some steps, and the reason. */
interface CellExclusion {
  readonly steps: readonly Step[];
  readonly faults: readonly Fault[];
  readonly reason: string;
}

const CELL_EXCLUSIONS: readonly CellExclusion[] = [
  {
    steps: STREAM_STEPS,
    faults: [Fault.LOST_REPLY, Fault.LATE, Fault.DUPLICATE],
    reason:
      'TCP neither loses, repeats nor reorders the bytes of one connection; ' +
      'the connection stalls or closes, which cut and crash cover',
  },
  {
    steps: [Step.SEND],
    faults: [Fault.DUPLICATE],
    reason: 'TCP delivers the bytes of one connection exactly once',
  },
  {
    steps: STORE_STEPS,
    faults: [Fault.CRASH],
    reason: 'the platform runs the object API; store_down covers its outage',
  },
  {
    steps: Object.values(Step).filter(step => !STORE_READ_STEPS.includes(step)),
    faults: [Fault.STALE_READ],
    reason: 'only a read of the object API can return stale data',
  },
  {
    steps: [Step.HOST_LIST],
    faults: [Fault.CRASH],
    reason: 'the platform runs the host list; cut covers its outage',
  },
];

/** Returns why a cell cannot occur, or undefined if it can. */
export function findExclusionReason(
  step: Step,
  fault: Fault,
): string | undefined {
  return CELL_EXCLUSIONS.find(
    ({steps, faults}) => steps.includes(step) && faults.includes(fault),
  )?.reason;
}
