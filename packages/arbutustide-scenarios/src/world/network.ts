import type {Result} from 'ts-results';

import type {SimulatedProcess} from './simulated_process.js';

import {delay} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {Fault, type Step} from './fault.js';
import {outsideProcesses} from './simulated_process.js';

/** How long a call takes each way. */
const LATENCY_MILLISECONDS = 1;
/** How long cuts, outages and freezes last. */
export const FAULT_MILLISECONDS = 8_000;
/** A late call arrives so long after it was sent. */
const LATE_MILLISECONDS = 6_000;
/** For so long all calls of a step are late. */
const LATE_SPAN_MILLISECONDS = 5_500;
const SLOW_STORE_MILLISECONDS = 1_500;

/** Name of the object API in links. */
export const STORE = 'store';

/** Why a call over the network gave no result. */
export enum CallFailure {
  /** Nothing can have reached the other end. */
  NOT_CONNECTED = 'not_connected',
  /** No reply came in time. */
  NO_REPLY = 'no_reply',
  /** The connection ended before the reply. */
  CLOSED = 'closed',
}

/** One call from a process to something outside it. */
export interface Call<T> {
  readonly from: SimulatedProcess;
  readonly to: string;
  readonly step: Step | undefined;
  readonly timeoutMilliseconds: number;
  /** Whether the other end accepts connections. */
  readonly isUp: () => boolean;
  /** Runs outside the calling process. */
  readonly effect: () => Promise<T> | T;
  /** What an out-of-date answer would be, for a read. */
  readonly staleEffect?: () => T;
}

/** A fault that waits for its step. */
interface ArmedFault {
  readonly step: Step;
  readonly fault: Fault;
  /** Until when it happens again, by the monotonic clock. */
  until: number | undefined;
}

/** What the network asks of the world around it. */
export interface NetworkSurroundings {
  /** Takes the other end down and starts it again. */
  crash(name: string): void;
  /** Freezes the process that holds the planner's lease. */
  freezePlanner(): void;
}

export type CallResult<T> = Promise<Result<T, CallFailure>>;

/** Carries all calls between processes and the outside, and breaks them. */
export class Network {
  readonly fired: ArmedFault[] = [];
  private readonly armed: ArmedFault[] = [];
  private readonly cuts = new Map<string, number>();
  private storeDownUntil = 0;
  private storeSlowUntil = 0;

  constructor(private readonly surroundings: NetworkSurroundings) {}

  /** Lets a fault happen when a step is reached. */
  arm(step: Step, fault: Fault): void {
    this.armed.push({step, fault, until: undefined});
  }

  /** Cuts a link in one direction. */
  cut(from: string, to: string, milliseconds = Infinity): void {
    this.cuts.set(linkKey(from, to), performance.now() + milliseconds);
  }

  /** Ends every cut and outage, and forgets faults that did not happen. */
  heal(): void {
    this.cuts.clear();
    this.storeDownUntil = 0;
    this.storeSlowUntil = 0;
    this.armed.length = 0;
  }

  /** Takes the object API down. */
  storeDown(milliseconds: number): void {
    this.storeDownUntil = performance.now() + milliseconds;
  }

  /** Makes the object API slow. */
  storeSlow(milliseconds: number): void {
    this.storeSlowUntil = performance.now() + milliseconds;
  }

  /** Whether nothing gets from one end to the other. */
  isCut(from: string, to: string): boolean {
    const until = this.cuts.get(linkKey(from, to));
    return until !== undefined && until > performance.now();
  }

  /** Takes the fault armed for a step, if it is its turn. */
  reach(step: Step | undefined): Fault | undefined {
    const now = performance.now();
    const index = this.armed.findIndex(
      armed => armed.step === step && (armed.until ?? Infinity) > now,
    );
    if (index < 0) return undefined;
    const armed = this.armed[index];
    if (armed.until === undefined) this.fired.push(armed);
    if (armed.fault === Fault.LATE)
      armed.until ??= now + LATE_SPAN_MILLISECONDS;
    else this.armed.splice(index, 1);
    return armed.fault;
  }

  /** Makes one call. */
  async call<T>(call: Call<T>): CallResult<T> {
    const fault = this.reach(call.step);
    const handler = fault === undefined ? carry : CALL_FAULTS[fault];
    const result = await outsideProcesses(() => handler(this, call));
    await call.from.running();
    return result;
  }

  /** Carries a call without a fault of its own. */
  async carry<T>(call: Call<T>): CallResult<T> {
    const {from, to} = call;
    await delay(this.latency(to));
    if (this.isCut(from.name, to)) return this.giveUp(call);
    if (!call.isUp() || this.isStoreDown(to)) {
      return Err(CallFailure.NOT_CONNECTED);
    }
    const result = await this.withinTimeout(call, call.effect());
    await delay(this.latency(to));
    if (this.isCut(to, from.name)) return this.giveUp(call);
    return result;
  }

  /** The call gives no reply, and its sender waits out its timeout. */
  async giveUp<T>(call: Call<T>): CallResult<T> {
    await delay(call.timeoutMilliseconds);
    return Err(CallFailure.NO_REPLY);
  }

  crash(name: string): void {
    this.surroundings.crash(name);
  }

  freezePlanner(): void {
    this.surroundings.freezePlanner();
  }

  private async withinTimeout<T>(
    call: Call<T>,
    effect: Promise<T> | T,
  ): CallResult<T> {
    const over = new AbortController();
    const timeout = delay(call.timeoutMilliseconds, over.signal);
    const result = await Promise.race([
      Promise.resolve(effect).then(value => Ok(value)),
      timeout.then(() => Err(CallFailure.NO_REPLY)),
    ]);
    over.abort();
    return result;
  }

  private latency(to: string): number {
    const isSlow = to === STORE && this.storeSlowUntil > performance.now();
    return isSlow ? SLOW_STORE_MILLISECONDS : LATENCY_MILLISECONDS;
  }

  private isStoreDown(to: string): boolean {
    return to === STORE && this.storeDownUntil > performance.now();
  }
}

type CallFault = <T>(network: Network, call: Call<T>) => CallResult<T>;

const carry: CallFault = (network, call) => network.carry(call);

/** Freezes a process and lets it go on later. */
export function freezeForAWhile(process: SimulatedProcess): void {
  process.freeze();
  outsideProcesses(() => setTimeout(() => process.thaw(), FAULT_MILLISECONDS));
}

/** How each fault happens to a call. */
const CALL_FAULTS: Readonly<Record<Fault, CallFault>> = {
  async [Fault.KILL](network, call) {
    call.from.kill();
    return network.giveUp(call);
  },
  async [Fault.KILL_AFTER](network, call) {
    await delay(LATENCY_MILLISECONDS);
    void call.effect();
    call.from.kill();
    return network.giveUp(call);
  },
  async [Fault.FREEZE](network, call) {
    freezeForAWhile(call.from);
    await call.from.running();
    return network.carry(call);
  },
  async [Fault.FREEZE_AFTER](network, call) {
    freezeForAWhile(call.from);
    return network.carry(call);
  },
  async [Fault.CUT](network, call) {
    network.cut(call.from.name, call.to, FAULT_MILLISECONDS);
    network.cut(call.to, call.from.name, FAULT_MILLISECONDS);
    return network.giveUp(call);
  },
  async [Fault.ONE_WAY_CUT](network, call) {
    network.cut(call.to, call.from.name, FAULT_MILLISECONDS);
    return network.carry(call);
  },
  async [Fault.LOST_REPLY](network, call) {
    await delay(LATENCY_MILLISECONDS);
    void call.effect();
    return network.giveUp(call);
  },
  async [Fault.LATE](network, call) {
    const arrive = () => {
      if (call.isUp()) void call.effect();
    };
    setTimeout(arrive, LATE_MILLISECONDS);
    return network.giveUp(call);
  },
  async [Fault.DUPLICATE](network, call) {
    const again = () => {
      if (call.isUp()) void call.effect();
    };
    setTimeout(again, LATE_MILLISECONDS);
    return network.carry(call);
  },
  async [Fault.CRASH](network, call) {
    await delay(LATENCY_MILLISECONDS);
    void call.effect();
    network.crash(call.to);
    return Err(CallFailure.CLOSED);
  },
  async [Fault.STORE_DOWN](network, call) {
    network.storeDown(FAULT_MILLISECONDS);
    return network.carry(call);
  },
  async [Fault.STORE_SLOW](network, call) {
    network.storeSlow(FAULT_MILLISECONDS);
    return network.carry(call);
  },
  async [Fault.STALE_READ](network, call) {
    return network.carry({...call, effect: call.staleEffect ?? call.effect});
  },
  async [Fault.LEASE_LAPSE](network, call) {
    network.freezePlanner();
    return network.carry(call);
  },
};

function linkKey(from: string, to: string): string {
  return `${from}>${to}`;
}
