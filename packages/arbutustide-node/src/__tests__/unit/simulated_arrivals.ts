import type {EventLoop} from '@arbutustide/event-loop';

import type {AdmittedArrival} from '../../proxy/overload/arrival_admission.js';

import {InputMonitor, TurnQueue} from '@arbutustide/event-loop';
import {install} from '@sinonjs/fake-timers';
import seedrandom from 'seedrandom';

import {ArrivalAdmission} from '../../proxy/overload/arrival_admission.js';

/** Processor time of the loop for each step, in milliseconds. */
const READ_MILLISECONDS = 0.2;
const REFUSE_MILLISECONDS = 0.2;
export const WORK_MILLISECONDS = 10;

/** Callers that send a kind of request. */
export interface SimulatedKind {
  readonly kind: string;
  readonly priority: number;
  readonly firstByteTargetMilliseconds: number;
  /** Time after which a caller leaves. */
  readonly patienceMilliseconds: number;
  /** Share of all arrivals. */
  readonly share: number;
}

/** What became of the requests of a kind. */
export interface KindOutcome {
  arrived: number;
  refused: number;
  /** Waits of those that had their turn before their callers left. */
  readonly waits: number[];
  readonly retryAfters: number[];
}

export interface SimulatedLoad {
  readonly kinds: readonly SimulatedKind[];
  /** Arrivals in relation to what the loop can do, at a time. */
  readonly loadAt: (milliseconds: number) => number;
  readonly seconds: number;
  readonly seed: string;
  readonly hasAdmission: boolean;
}

/** Plays arrivals at an event loop whose time is simulated. */
export async function playArrivals(
  load: SimulatedLoad,
): Promise<Map<string, KindOutcome>> {
  const clock = install({toFake: ['performance']});
  try {
    return await new Simulation(load, milliseconds =>
      clock.tick(milliseconds),
    ).run();
  } finally {
    clock.uninstall();
  }
}

class Simulation {
  private pollCount = 0;
  private idleMilliseconds = 0;
  private listener = () => {};
  private callbacks: (() => void)[] = [];
  /** The clock counts whole milliseconds of time, the loop parts of one. */
  private unspentMilliseconds = 0;
  private workMilliseconds = 0;
  private nextArrivalAt = 0;
  private readonly random: () => number;
  private readonly turns: TurnQueue;
  private readonly admission: ArrivalAdmission;
  private readonly outcomes = new Map<string, KindOutcome>();

  constructor(
    private readonly load: SimulatedLoad,
    private readonly advance: (milliseconds: number) => void,
  ) {
    this.random = seedrandom(load.seed);
    const loop: EventLoop = {
      measure: () => ({
        pollCount: this.pollCount,
        idleMilliseconds: this.idleMilliseconds,
      }),
      onPolled: listener => (this.listener = listener),
      afterPoll: callback => this.callbacks.push(callback),
    };
    this.turns = new TurnQueue(new InputMonitor(loop), loop);
    const {turns, random} = this;
    this.admission = new ArrivalAdmission({turns, random});
    for (const {kind} of load.kinds)
      this.outcomes.set(kind, {
        arrived: 0,
        refused: 0,
        waits: [],
        retryAfters: [],
      });
  }

  async run(): Promise<Map<string, KindOutcome>> {
    const end = this.load.seconds * 1_000;
    while (performance.now() < end) {
      this.pollCount += 1;
      while (this.nextArrivalAt <= performance.now()) {
        this.spend(READ_MILLISECONDS);
        this.arrive();
        const rate = this.load.loadAt(this.nextArrivalAt) / WORK_MILLISECONDS;
        this.nextArrivalAt -= Math.log(1 - this.random()) / rate;
      }
      this.listener();
      const callbacks = this.callbacks.splice(0);
      if (callbacks.length === 0) this.idle();
      for (const callback of callbacks) callback();
      for (let count = 0; count < 5; count += 1) await Promise.resolve();
      this.spend(this.workMilliseconds);
      this.workMilliseconds = 0;
    }
    return this.outcomes;
  }

  private spend(milliseconds: number): void {
    this.unspentMilliseconds += milliseconds;
    const whole = Math.floor(this.unspentMilliseconds);
    this.unspentMilliseconds -= whole;
    this.advance(whole);
  }

  private idle(): void {
    const idle = Math.ceil(this.nextArrivalAt - performance.now());
    if (idle <= 0) return;
    this.idleMilliseconds += idle;
    this.advance(idle);
  }

  private arrive(): void {
    const {kind, ...needs} = this.pickKind();
    const outcome = this.outcomes.get(kind);
    if (!outcome) return;
    outcome.arrived += 1;
    const connection = {};
    if (!this.load.hasAdmission) {
      void this.wait(outcome, {kind, urgency: 0, connection}, needs);
      return;
    }
    const admitted = this.admission.admit({
      kind,
      ...needs,
      isContinuation: false,
      remainingMilliseconds: needs.patienceMilliseconds,
      connection,
    });
    if (admitted.ok) void this.wait(outcome, admitted.val, needs);
    else {
      this.spend(REFUSE_MILLISECONDS);
      outcome.refused += 1;
      outcome.retryAfters.push(admitted.val);
    }
  }

  private async wait(
    {waits}: KindOutcome,
    admitted: AdmittedArrival,
    {patienceMilliseconds}: Omit<SimulatedKind, 'kind'>,
  ): Promise<void> {
    const since = performance.now();
    const hasCaller = () => performance.now() - since < patienceMilliseconds;
    const {connection, urgency} = admitted;
    await this.turns.nextTurn(hasCaller, connection, urgency);
    const waited = performance.now() - since;
    this.admission.recordEnd(admitted, hasCaller());
    if (!hasCaller()) {
      // The end of a connection is read like a request.
      this.workMilliseconds += REFUSE_MILLISECONDS;
      return;
    }
    waits.push(waited);
    this.workMilliseconds += WORK_MILLISECONDS;
  }

  private pickKind(): SimulatedKind {
    const {kinds} = this.load;
    let remaining = this.random();
    return (
      kinds.find(({share}) => (remaining -= share) < 0) ??
      kinds[kinds.length - 1]
    );
  }
}
