import type {UpstreamSignals} from './proxy_connector.js';
import type {ModelReference} from './route.js';

import {LoadEstimate} from './balance/load_estimate.js';
import {ResponseTime} from './balance/response_time.js';
import {WorkTime} from './balance/work_time.js';
import {UpstreamAdmission} from './brittleness/upstream_admission.js';
import {UpstreamRateLimit} from './rate_limit/upstream_rate_limit.js';
import {UpstreamReachability} from './reachability/upstream_reachability.js';

/** Whether an upstream accepts new requests. */
export enum UpstreamState {
  READY = 'ready',
  /** Finishes its requests and gets no new ones. */
  LEAVING = 'leaving',
}

/** A loaded model and its loaded adapters. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Entry of an upstream in the platform's list. */
export interface UpstreamDescription {
  readonly id: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of the process's software, which has no order; may be empty. */
  readonly softwareVersion: string;
  readonly state: UpstreamState;
  readonly slots: number;
  /** Unix time of the process start in milliseconds; identifies a restart. */
  readonly startedAt: number;
  readonly models: readonly HeldModel[];
  /** Models with copies in the host memory, and on the disk, of the engine. */
  readonly modelsInMemory: readonly string[];
  readonly modelsOnDisk: readonly string[];
}

/** Requests at an upstream, as reported by the upstream. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the upstream's host at this moment, in per cent of
   * the usual time; undefined if the upstream does not tell.
   */
  readonly workPercent?: number;
}

/** Consecutive failures after which an upstream is temporarily ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
/** Duration of an ejection; short, as an upstream may recover any time. */
const EJECTION_MILLISECONDS = 1_000;

/** Limits the effect of a faulty upstream's answer. */
const MAXIMUM_BACK_OFF_MILLISECONDS = 300_000;

/**
 * Time for which an observed holding overrides the platform's list, which lags
 * by two heartbeats of the upstream.
 */
const OBSERVED_HOLDING_LIFETIME_MILLISECONDS = 3_000;

/** Whether a model or adapter is held, as seen in an order or answer. */
interface ObservedHolding {
  readonly isHeld: boolean;
  readonly validUntilMilliseconds: number;
}

/** An upstream with its load, health and holdings as known to this node. */
export class ProxyUpstream {
  /** Requests of this node in flight at the upstream. */
  ownInFlight = 0;
  /** Requests of the other nodes in flight, as they last reported. */
  peersInFlight = 0;
  /** Of those, the ones of nodes in the failure domain of this node. */
  domainPeersInFlight = 0;
  /**
   * Whether its entry is missing from the platform's list but may return, as it
   * may have lapsed while the upstream could not renew it.
   */
  isUnlisted = false;
  readonly rateLimit = new UpstreamRateLimit();
  /** Bounds its rejections while it is brittle. */
  readonly admission = new UpstreamAdmission();
  /** Whether this node has a path to it. */
  readonly reachability = new UpstreamReachability();
  private readonly createdAtMilliseconds = performance.now();
  readonly responseTime = new ResponseTime();
  private readonly loadEstimate = new LoadEstimate();
  private readonly workTime = new WorkTime();
  private consecutiveFailures = 0;
  private silenceRecordedAtMilliseconds = -Infinity;
  private ejectedUntilMilliseconds = 0;
  private backOffEndMilliseconds = 0;
  private listedHoldings: ReadonlySet<string> = new Set();
  private plannedHoldings: ReadonlySet<string> | undefined;
  /** What `plannedHoldings` was made from. */
  private plannedNames: readonly string[] | undefined;
  private readonly observedHoldings = new Map<string, ObservedHolding>();

  constructor(private currentDescription: UpstreamDescription) {
    this.setListedHoldings(currentDescription.models);
  }

  get description(): UpstreamDescription {
    return this.currentDescription;
  }

  get id(): string {
    return this.currentDescription.id;
  }

  /** Whether the upstream accepts new requests. */
  get isReady(): boolean {
    return this.currentDescription.state === UpstreamState.READY;
  }

  /** Whether it is temporarily ejected after consecutive failures. */
  get isEjected(): boolean {
    return performance.now() < this.ejectedUntilMilliseconds;
  }

  /**
   * Time for which the upstream has asked this node to send it nothing, in
   * milliseconds; zero if it may be called.
   */
  get remainingBackOffMilliseconds(): number {
    return Math.max(0, this.backOffEndMilliseconds - performance.now());
  }

  /**
   * Applies what an answer says of the upstream, except that it is leaving.
   *
   * @param unlimitedSinceMilliseconds when the request was sent, if an answer
   *     without a limit means that there is none.
   * @return whether the upstream's rate limit has changed.
   */
  recordSignals(
    {backOffMilliseconds, requestsPerSecond}: UpstreamSignals,
    unlimitedSinceMilliseconds?: number,
  ): boolean {
    if (backOffMilliseconds !== undefined)
      this.recordBackOff(backOffMilliseconds);
    const atMilliseconds =
      requestsPerSecond === undefined
        ? unlimitedSinceMilliseconds
        : performance.now();
    return (
      atMilliseconds !== undefined &&
      this.rateLimit.record({requestsPerSecond, atMilliseconds})
    );
  }

  /** Records that the upstream asked this node to send nothing for a time. */
  recordBackOff(milliseconds: number): void {
    const limited = Math.min(milliseconds, MAXIMUM_BACK_OFF_MILLISECONDS);
    this.backOffEndMilliseconds = Math.max(
      this.backOffEndMilliseconds,
      performance.now() + limited,
    );
  }

  /** Applies a newer description of the same process. */
  updateDescription(description: UpstreamDescription): void {
    this.currentDescription = description;
    this.isUnlisted = false;
    this.setListedHoldings(description.models);
  }

  /** Whether the model, and the adapter if any, is loaded now. */
  canServe({model, adapter}: ModelReference): boolean {
    if (!this.holdsKey(model)) return false;
    return adapter === undefined || this.holdsKey(holdingKey({model, adapter}));
  }

  /** Whether the model is loaded, regardless of its adapters. */
  holdsModel(model: string): boolean {
    return this.holdsKey(model);
  }

  /** Sets the holdings planned for it; undefined to use the listed ones. */
  setPlannedHoldings(held: readonly string[] | undefined): void {
    if (held === this.plannedNames) return;
    this.plannedNames = held;
    this.plannedHoldings = held && new Set(held);
  }

  /** Records a holding seen in an order or answer before it is listed. */
  recordObservedHolding(name: ModelReference, isHeld: boolean): void {
    const validUntilMilliseconds =
      performance.now() + OBSERVED_HOLDING_LIFETIME_MILLISECONDS;
    this.observedHoldings.set(holdingKey(name), {
      isHeld,
      validUntilMilliseconds,
    });
  }

  /** Records the load that the upstream reported with an answer. */
  recordReportedLoad(load: UpstreamLoad): void {
    this.loadEstimate.record(load, this.ownInFlight);
    if (load.workPercent !== undefined) this.workTime.record(load.workPercent);
  }

  /** Estimated requests of all nodes in flight at the upstream. */
  get estimatedInFlight(): number {
    const {ownInFlight: own, peersInFlight: peers} = this;
    return this.loadEstimate.inFlight({own, peers});
  }

  /** Age of its last report of its load; undefined if there was none. */
  get reportAgeMilliseconds(): number | undefined {
    return this.loadEstimate.reportAgeMilliseconds;
  }

  /**
   * Factor on the usual time that a request takes there now, as reported;
   * undefined if the upstream does not tell.
   */
  get reportedWorkTimeFactor(): number | undefined {
    return this.workTime.factor;
  }

  /** Time since it last sent data to this node, in milliseconds. */
  get silentMilliseconds(): number {
    const {lastDataAt} = this.reachability;
    return performance.now() - Math.max(this.createdAtMilliseconds, lastDataAt);
  }

  /**
   * Requests of this node at the upstream as other nodes need to know them. What
   * hangs behind a lost path takes no slot there that others could use.
   */
  get publishedInFlight(): number {
    return this.reachability.isLost ? 0 : this.ownInFlight;
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejectedUntilMilliseconds = 0;
  }

  /**
   * Records that the upstream was silent for too long. Attempts that end in the
   * same silence count as one failure: a sound upstream may be silent for a
   * second.
   *
   * @param beganAtMilliseconds when the attempt began (monotonic clock).
   */
  recordSilence(beganAtMilliseconds: number): void {
    if (beganAtMilliseconds < this.silenceRecordedAtMilliseconds) return;
    this.silenceRecordedAtMilliseconds = performance.now();
    this.recordFailure();
  }

  recordFailure(): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT) return;
    this.ejectedUntilMilliseconds = performance.now() + EJECTION_MILLISECONDS;
  }

  private holdsKey(key: string): boolean {
    const observed = this.observedHoldings.get(key);
    if (observed && performance.now() < observed.validUntilMilliseconds) {
      return observed.isHeld;
    }
    if (observed) this.observedHoldings.delete(key);
    return (this.plannedHoldings ?? this.listedHoldings).has(key);
  }

  private setListedHoldings(models: readonly HeldModel[]): void {
    this.listedHoldings = new Set(
      models.flatMap(({name: model, adapters}) => [
        model,
        ...adapters.map(adapter => holdingKey({model, adapter})),
      ]),
    );
  }
}

function holdingKey({model, adapter}: ModelReference): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
