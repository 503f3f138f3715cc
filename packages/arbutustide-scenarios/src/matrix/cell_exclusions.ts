import {Fault, Step} from '../world/fault.js';

/** Steps that are pieces of one connection's byte stream. */
const STREAM_STEPS = [Step.FIRST_BYTE, Step.MIDDLE, Step.END];
/** Steps whose other end is the object API. */
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
      'bytes of one connection are neither lost, repeated nor overtaken; ' +
      'the connection goes silent or ends, which cut and crash cover',
  },
  {
    steps: [Step.SEND],
    faults: [Fault.DUPLICATE],
    reason: 'the transport delivers the bytes of one connection once',
  },
  {
    steps: STORE_STEPS,
    faults: [Fault.CRASH],
    reason: "the object API is the platform's; store_down is its outage",
  },
  {
    steps: Object.values(Step).filter(step => !STORE_READ_STEPS.includes(step)),
    faults: [Fault.STALE_READ],
    reason: 'only a read of the object API can be out of date',
  },
  {
    steps: [Step.HOST_LIST],
    faults: [Fault.CRASH],
    reason: "the host list is the platform's; cut is its outage",
  },
];

/** Why a cell cannot be, or undefined when it can. */
export function findExclusionReason(
  step: Step,
  fault: Fault,
): string | undefined {
  return CELL_EXCLUSIONS.find(
    ({steps, faults}) => steps.includes(step) && faults.includes(fault),
  )?.reason;
}
