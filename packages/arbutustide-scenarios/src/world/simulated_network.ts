import type {Result} from 'ts-results';

import type {SimulatedProcess} from './simulated_process.js';

import {delay} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {Fault, type Step} from './fault.js';
import {runOutsideProcesses} from './simulated_process.js';

const ONE_WAY_LATENCY_MILLISECONDS = 1;
/** How long cut links, outages and freezes last. */
export const FAULT_DURATION_MILLISECONDS = 8_000;
/** How long after it was sent a late or duplicated call arrives. */
const LATE_ARRIVAL_DELAY_MILLISECONDS = 6_000;
/** How long all calls of a step are late once the fault has occurred. */
const LATE_FAULT_DURATION_MILLISECONDS = 5_500;
const SLOW_STORE_LATENCY_MILLISECONDS = 1_500;

/** Name of the object API as an endpoint of links. */
export const STORE_ENDPOINT_NAME = 'store';

/** Why a call over the network has no result. */
export enum NetworkCallFailure {
  /** No connection, so the call cannot have had an effect. */
  NOT_CONNECTED = 'not_connected',
  /** No reply before the timeout; the call may have had an effect. */
  NO_REPLY = 'no_reply',
  /** The connection ended before the reply; the call may have had an effect. */
  CONNECTION_CLOSED = 'closed',
}

/** A call from a simulated process to an endpoint outside it. */
export interface NetworkCall<T> {
  readonly from: SimulatedProcess;
  /** Name of the called endpoint. */
  readonly to: string;
  readonly step: Step | undefined;
  readonly timeoutMilliseconds: number;
  /** Whether the called endpoint accepts connections. */
  readonly isUp: () => boolean;
  /** Executes the call at the endpoint, outside the calling process. */
  readonly effect: () => Promise<T> | T;
  /** For a read, returns an outdated answer. */
  readonly staleEffect?: () => T;
}

/** A fault that occurs when its step is reached. */
interface ArmedFault {
  readonly step: Step;
  readonly fault: Fault;
  /** End of a fault that repeats, in monotonic time; set when it first occurs. */
  activeUntilMilliseconds: number | undefined;
}

/** Actions on endpoints that the network needs for some faults. */
export interface NetworkEnvironment {
  /** Crashes the endpoint of this name; an upstream restarts by itself. */
  crashEndpoint(name: string): void;
  /** Freezes the node that holds the planner lease. */
  freezePlanner(): void;
}

export type NetworkCallResult<T> = Promise<Result<T, NetworkCallFailure>>;

/**
 * Delivers all calls between simulated processes and the outside, and injects
 * faults into them.
 */
export class SimulatedNetwork {
  /** Faults that have occurred. */
  readonly firedFaults: ArmedFault[] = [];
  private readonly armedFaults: ArmedFault[] = [];
  /** Monotonic time at which each cut link works again, by `linkKey`. */
  private readonly linkCutEnds = new Map<string, number>();
  private storeDownUntil = 0;
  private storeSlowUntil = 0;

  constructor(private readonly environment: NetworkEnvironment) {}

  /** Arms a fault, which occurs at the next call of the step. */
  armFault(step: Step, fault: Fault): void {
    this.armedFaults.push({step, fault, activeUntilMilliseconds: undefined});
  }

  /** Drops everything sent in one direction of a link. */
  cutLink(from: string, to: string, milliseconds = Infinity): void {
    this.linkCutEnds.set(linkKey(from, to), performance.now() + milliseconds);
  }

  /** Restores all links and the object API, and disarms all faults. */
  heal(): void {
    this.linkCutEnds.clear();
    this.storeDownUntil = 0;
    this.storeSlowUntil = 0;
    this.armedFaults.length = 0;
  }

  /** Makes the object API refuse connections for this long. */
  takeStoreDown(milliseconds: number): void {
    this.storeDownUntil = performance.now() + milliseconds;
  }

  /** Raises the latency of the object API for this long. */
  makeStoreSlow(milliseconds: number): void {
    this.storeSlowUntil = performance.now() + milliseconds;
  }

  /** Whether the link is cut in this direction. */
  isLinkCut(from: string, to: string): boolean {
    const until = this.linkCutEnds.get(linkKey(from, to));
    return until !== undefined && until > performance.now();
  }

  /** Returns the armed fault that now occurs at this step, if any. */
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

  /** Makes a call, and applies the fault armed for its step. */
  async call<T>(call: NetworkCall<T>): NetworkCallResult<T> {
    const fault = this.takeArmedFault(call.step);
    const handler =
      fault === undefined ? deliverWithoutFault : FAULT_HANDLERS[fault];
    const result = await runOutsideProcesses(() => handler(this, call));
    await call.from.waitUntilRunning();
    return result;
  }

  /** Delivers a call over the current state of the links and the endpoint. */
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

  /** Waits for the timeout of a call that gets no reply. */
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
    const timer = new AbortController();
    const timeout = delay(call.timeoutMilliseconds, timer.signal);
    const result = await Promise.race([
      Promise.resolve(effect).then(value => Ok(value)),
      timeout.then(() => Err(NetworkCallFailure.NO_REPLY)),
    ]);
    timer.abort();
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

/** Freezes a process and resumes it after `FAULT_DURATION_MILLISECONDS`. */
export function freezeTemporarily(process: SimulatedProcess): void {
  process.freeze();
  runOutsideProcesses(() =>
    setTimeout(() => process.thaw(), FAULT_DURATION_MILLISECONDS),
  );
}

/** How each fault affects a call. */
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
    network.cutLink(call.from.name, call.to, FAULT_DURATION_MILLISECONDS);
    network.cutLink(call.to, call.from.name, FAULT_DURATION_MILLISECONDS);
    return network.waitForTimeout(call);
  },
  async [Fault.ONE_WAY_CUT](network, call) {
    network.cutLink(call.to, call.from.name, FAULT_DURATION_MILLISECONDS);
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
    const arriveAgain = () => {
      if (call.isUp()) void call.effect();
    };
    setTimeout(arriveAgain, LATE_ARRIVAL_DELAY_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.CRASH](network, call) {
    await delay(ONE_WAY_LATENCY_MILLISECONDS);
    void call.effect();
    network.crashEndpoint(call.to);
    return Err(NetworkCallFailure.CONNECTION_CLOSED);
  },
  async [Fault.STORE_DOWN](network, call) {
    network.takeStoreDown(FAULT_DURATION_MILLISECONDS);
    return network.deliver(call);
  },
  async [Fault.STORE_SLOW](network, call) {
    network.makeStoreSlow(FAULT_DURATION_MILLISECONDS);
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
