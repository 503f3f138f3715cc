import type {Result} from 'ts-results';

import type {SimulatedProcess} from './simulated_process.js';

import {delay} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {Fault, type Step} from './fault.js';
import {runOutsideProcesses} from './simulated_process.js';

/** How long a call takes each way. */
const ONE_WAY_LATENCY_MILLISECONDS = 1;
/** How long cuts, outages and freezes last. */
export const FAULT_DURATION_MILLISECONDS = 8_000;
/** A late call arrives so long after it was sent. */
const LATE_ARRIVAL_DELAY_MILLISECONDS = 6_000;
/** For so long all calls of a step are late. */
const LATE_FAULT_DURATION_MILLISECONDS = 5_500;
const SLOW_STORE_LATENCY_MILLISECONDS = 1_500;

/** Name of the object API in links. */
export const STORE_ENDPOINT_NAME = 'store';

/** Why a call over the network gave no result. */
export enum NetworkCallFailure {
  /** Nothing can have reached the other end. */
  NOT_CONNECTED = 'not_connected',
  /** No reply came in time. */
  NO_REPLY = 'no_reply',
  /** The connection ended before the reply. */
  CONNECTION_CLOSED = 'closed',
}

/** One call from a process to something outside it. */
export interface NetworkCall<T> {
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
  activeUntilMilliseconds: number | undefined;
}

/** What the network asks of the world around it. */
export interface NetworkEnvironment {
  /** Takes the other end down and starts it again. */
  crashEndpoint(name: string): void;
  /** Freezes the process that holds the planner's lease. */
  freezePlanner(): void;
}

export type NetworkCallResult<T> = Promise<Result<T, NetworkCallFailure>>;

/** Carries all calls between processes and the outside, and breaks them. */
export class SimulatedNetwork {
  readonly firedFaults: ArmedFault[] = [];
  private readonly armedFaults: ArmedFault[] = [];
  private readonly linkCutEnds = new Map<string, number>();
  private storeDownUntil = 0;
  private storeSlowUntil = 0;

  constructor(private readonly environment: NetworkEnvironment) {}

  /** Lets a fault happen when a step is reached. */
  arm(step: Step, fault: Fault): void {
    this.armedFaults.push({step, fault, activeUntilMilliseconds: undefined});
  }

  /** Cuts a link in one direction. */
  cut(from: string, to: string, milliseconds = Infinity): void {
    this.linkCutEnds.set(linkKey(from, to), performance.now() + milliseconds);
  }

  /** Ends every cut and outage, and forgets faults that did not happen. */
  heal(): void {
    this.linkCutEnds.clear();
    this.storeDownUntil = 0;
    this.storeSlowUntil = 0;
    this.armedFaults.length = 0;
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
  isLinkCut(from: string, to: string): boolean {
    const until = this.linkCutEnds.get(linkKey(from, to));
    return until !== undefined && until > performance.now();
  }

  /** Takes the fault armed for a step, if it is its turn. */
  takeArmedFault(step: Step | undefined): Fault | undefined {
    const now = performance.now();
    const index = this.armedFaults.findIndex(
      armed =>
        armed.step === step &&
        (armed.activeUntilMilliseconds ?? Infinity) > now,
    );
    if (index < 0) return undefined;
    const armed = this.armedFaults[index];
    if (armed.activeUntilMilliseconds === undefined)
      this.firedFaults.push(armed);
    if (armed.fault === Fault.LATE)
      armed.activeUntilMilliseconds ??= now + LATE_FAULT_DURATION_MILLISECONDS;
    else this.armedFaults.splice(index, 1);
    return armed.fault;
  }

  /** Makes one call. */
  async call<T>(call: NetworkCall<T>): NetworkCallResult<T> {
    const fault = this.takeArmedFault(call.step);
    const handler =
      fault === undefined ? deliverWithoutFault : FAULT_HANDLERS[fault];
    const result = await runOutsideProcesses(() => handler(this, call));
    await call.from.waitUntilRunning();
    return result;
  }

  /** Carries a call without a fault of its own. */
  async deliver<T>(call: NetworkCall<T>): NetworkCallResult<T> {
    const {from, to} = call;
    await delay(this.latencyTo(to));
    if (this.isLinkCut(from.name, to)) return this.waitForTimeout(call);
    if (!call.isUp() || this.isStoreDown(to)) {
      return Err(NetworkCallFailure.NOT_CONNECTED);
    }
    const result = await this.awaitWithinTimeout(call, call.effect());
    await delay(this.latencyTo(to));
    if (this.isLinkCut(to, from.name)) return this.waitForTimeout(call);
    return result;
  }

  /** The call gives no reply, and its sender waits out its timeout. */
  async waitForTimeout<T>(call: NetworkCall<T>): NetworkCallResult<T> {
    await delay(call.timeoutMilliseconds);
    return Err(NetworkCallFailure.NO_REPLY);
  }

  crashEndpoint(name: string): void {
    this.environment.crashEndpoint(name);
  }

  freezePlanner(): void {
    this.environment.freezePlanner();
  }

  private async awaitWithinTimeout<T>(
    call: NetworkCall<T>,
    effect: Promise<T> | T,
  ): NetworkCallResult<T> {
    const over = new AbortController();
    const timeout = delay(call.timeoutMilliseconds, over.signal);
    const result = await Promise.race([
      Promise.resolve(effect).then(value => Ok(value)),
      timeout.then(() => Err(NetworkCallFailure.NO_REPLY)),
    ]);
    over.abort();
    return result;
  }

  private latencyTo(to: string): number {
    const isSlow =
      to === STORE_ENDPOINT_NAME && this.storeSlowUntil > performance.now();
    return isSlow
      ? SLOW_STORE_LATENCY_MILLISECONDS
      : ONE_WAY_LATENCY_MILLISECONDS;
  }

  private isStoreDown(to: string): boolean {
    return (
      to === STORE_ENDPOINT_NAME && this.storeDownUntil > performance.now()
    );
  }
}

type FaultHandler = <T>(
  network: SimulatedNetwork,
  call: NetworkCall<T>,
) => NetworkCallResult<T>;

const deliverWithoutFault: FaultHandler = (network, call) =>
  network.deliver(call);

/** Freezes a process and lets it go on later. */
export function freezeTemporarily(process: SimulatedProcess): void {
  process.freeze();
  runOutsideProcesses(() =>
    setTimeout(() => process.thaw(), FAULT_DURATION_MILLISECONDS),
  );
}

/** How each fault happens to a call. */
const FAULT_HANDLERS: Readonly<Record<Fault, FaultHandler>> = {
  async [Fault.KILL](network, call) {
    call.from.kill();
    return network.waitForTimeout(call);
  },
  async [Fault.KILL_AFTER](network, call) {
    await delay(ONE_WAY_LATENCY_MILLISECONDS);
    void call.effect();
    call.from.kill();
    return network.waitForTimeout(call);
  },
  async [Fault.FREEZE](network, call) {
    freezeTemporarily(call.from);
    await call.from.waitUntilRunning();
    return network.deliver(call);
  },
  async [Fault.FREEZE_AFTER](network, call) {
    freezeTemporarily(call.from);
    return network.deliver(call);
  },
  async [Fault.CUT](network, call) {
    network.cut(call.from.name, call.to, FAULT_DURATION_MILLISECONDS);
    network.cut(call.to, call.from.name, FAULT_DURATION_MILLISECONDS);
    return network.waitForTimeout(call);
  },
  async [Fault.ONE_WAY_CUT](network, call) {
    network.cut(call.to, call.from.name, FAULT_DURATION_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.LOST_REPLY](network, call) {
    await delay(ONE_WAY_LATENCY_MILLISECONDS);
    void call.effect();
    return network.waitForTimeout(call);
  },
  async [Fault.LATE](network, call) {
    const arrive = () => {
      if (call.isUp()) void call.effect();
    };
    setTimeout(arrive, LATE_ARRIVAL_DELAY_MILLISECONDS);
    return network.waitForTimeout(call);
  },
  async [Fault.DUPLICATE](network, call) {
    const again = () => {
      if (call.isUp()) void call.effect();
    };
    setTimeout(again, LATE_ARRIVAL_DELAY_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.CRASH](network, call) {
    await delay(ONE_WAY_LATENCY_MILLISECONDS);
    void call.effect();
    network.crashEndpoint(call.to);
    return Err(NetworkCallFailure.CONNECTION_CLOSED);
  },
  async [Fault.STORE_DOWN](network, call) {
    network.storeDown(FAULT_DURATION_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.STORE_SLOW](network, call) {
    network.storeSlow(FAULT_DURATION_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.STALE_READ](network, call) {
    return network.deliver({...call, effect: call.staleEffect ?? call.effect});
  },
  async [Fault.LEASE_LAPSE](network, call) {
    network.freezePlanner();
    return network.deliver(call);
  },
};

function linkKey(from: string, to: string): string {
  return `${from}>${to}`;
}
