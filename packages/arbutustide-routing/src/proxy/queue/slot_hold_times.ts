/** Requests after which a service's mean is used. */
const MINIMUM_SAMPLES = 8;

/** Weight of one request in the mean once there are many. */
const SAMPLE_WEIGHT = 1 / 32;

interface HoldTime {
  samples: number;
  meanMilliseconds: number;
}

/**
 * Measures how long the requests of each service hold a slot. By Little's law,
 * the requests in flight at an upstream divided by this time are the slots that
 * come free there per unit of time, whoever sent the requests.
 */
export class SlotHoldTimes {
  private readonly timesByService = new Map<string, HoldTime>();

  /** Records a request that an upstream accepted and that has ended. */
  record(service: string, heldMilliseconds: number): void {
    const known = this.timesByService.get(service);
    const time = known ?? {samples: 0, meanMilliseconds: 0};
    if (!known) this.timesByService.set(service, time);
    time.samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / time.samples);
    time.meanMilliseconds +=
      weight * (heldMilliseconds - time.meanMilliseconds);
  }

  /** Mean time that a request holds a slot; undefined if not yet measured. */
  meanMilliseconds(service: string): number | undefined {
    const time = this.timesByService.get(service);
    if (!time || time.samples < MINIMUM_SAMPLES) return undefined;
    return time.meanMilliseconds;
  }
}
