import type {ClockReading} from '@arbutustide/errors';

import type {FreshnessCheck} from './authenticator.js';

import {
  clockDriftMilliseconds,
  ErrorKind,
  readClocks,
  RefusalError,
  SuspensionDetector,
} from '@arbutustide/errors';

/**
 * Age of the newest confirmation up to which keys are judged, as a share of the
 * time until a revocation must be in effect. The rest is for suspensions that
 * are too short to be noticed and for the time from the check to the sending.
 */
export const MAXIMUM_AGE_SHARE = 0.9;
/**
 * Drift of the clocks since a confirmation that is not taken for a suspension,
 * as a share of the same time.
 */
const TOLERATED_DRIFT_SHARE = 0.05;
/** Time for a confirmation of the configuration to arrive. */
const RETRY_AFTER_MILLISECONDS = 500;

/** Terms on which a node may judge keys. */
export interface FreshnessOptions {
  /** Whether keys are judged only by a confirmed configuration. */
  readonly isRequired: boolean;
  /** Time until a revocation must be in effect, in milliseconds. */
  readonly boundMilliseconds: number;
}

/** A time at which the configuration in force was that of the store. */
interface Confirmation {
  /** When the call was sent that brought the confirmation. */
  readonly sentAt: ClockReading;
  /** Age of what the call brought when it was sent, in milliseconds. */
  readonly ageMilliseconds: number;
}

/**
 * Knows when the configuration in force was last confirmed to be that of the
 * store. A confirmation that was asked for before the clocks drifted apart does
 * not count: the host may have been suspended since, for any time.
 */
export class ConfigurationFreshness implements FreshnessCheck {
  private confirmation: Confirmation | undefined;
  private readonly suspensionDetector;
  /** Calls sent before this time confirm nothing (monotonic clock). */
  private suspectedAtMilliseconds = -Infinity;
  private readonly refusalListeners = new Set<() => void>();

  constructor(private readonly options: FreshnessOptions) {
    this.suspensionDetector = new SuspensionDetector(
      this.toleratedDriftMilliseconds,
    );
  }

  /** Whether keys are judged only by a confirmed configuration. */
  get isRequired(): boolean {
    return this.options.isRequired;
  }

  /** Age up to which keys are judged. */
  get maximumAgeMilliseconds(): number {
    return this.options.boundMilliseconds * MAXIMUM_AGE_SHARE;
  }

  /** Age of the newest confirmation; infinite if there is none. */
  get ageMilliseconds(): number {
    this.dropAfterSuspension();
    if (!this.confirmation) return Infinity;
    const {sentAt, ageMilliseconds} = this.confirmation;
    return performance.now() - sentAt.monotonicMilliseconds + ageMilliseconds;
  }

  /** Whether keys may be judged now. */
  get isConfirmed(): boolean {
    if (!this.options.isRequired) return true;
    return this.ageMilliseconds < this.maximumAgeMilliseconds;
  }

  /** Calls the listener whenever a request is refused. */
  onRefusal(listener: () => void): void {
    this.refusalListeners.add(listener);
  }

  /**
   * Records that the configuration in force was that of the store.
   *
   * @param sentAt when the call was sent that brought this.
   * @param ageMilliseconds age of the knowledge of the peer that answered.
   */
  confirm(sentAt: ClockReading, ageMilliseconds = 0): void {
    const currentAge = this.ageMilliseconds;
    const {monotonicMilliseconds} = sentAt;
    const isUsable =
      // A negative age would prolong the bound.
      ageMilliseconds >= 0 &&
      monotonicMilliseconds >= this.suspectedAtMilliseconds &&
      !this.hasDriftedSince(sentAt);
    if (!isUsable) return;
    const age = performance.now() - monotonicMilliseconds + ageMilliseconds;
    if (age < currentAge) this.confirmation = {sentAt, ageMilliseconds};
  }

  refuseIfUnconfirmed(): RefusalError | undefined {
    if (this.isConfirmed) return undefined;
    for (const listener of this.refusalListeners) listener();
    return createUnconfirmedRefusal();
  }

  /**
   * Drops the confirmation if the clocks have drifted apart, at once or little
   * by little. They may come together again by a step of the wall clock.
   */
  private dropAfterSuspension(): void {
    const isSuspected =
      this.suspensionDetector.checkSuspended() ||
      (this.confirmation && this.hasDriftedSince(this.confirmation.sentAt));
    if (!isSuspected) return;
    this.confirmation = undefined;
    this.suspectedAtMilliseconds = performance.now();
  }

  private hasDriftedSince(reading: ClockReading): boolean {
    const drift = clockDriftMilliseconds(reading, readClocks());
    return drift > this.toleratedDriftMilliseconds;
  }

  private get toleratedDriftMilliseconds(): number {
    return this.options.boundMilliseconds * TOLERATED_DRIFT_SHARE;
  }
}

/** Refuses a request whose key may have been revoked without notice. */
export function createUnconfirmedRefusal(): RefusalError {
  return new RefusalError(
    ErrorKind.CONFIGURATION_UNCONFIRMED,
    'this node has not confirmed recently that keys are valid',
    {retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS},
  );
}
