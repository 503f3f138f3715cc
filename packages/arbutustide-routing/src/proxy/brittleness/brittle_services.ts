/** How long a service counts as brittle after the last answer that said so. */
const RETENTION_MILLISECONDS = 5_000;

interface BrittleObservation {
  readonly rejectionsPerSecond: number;
  readonly atMilliseconds: number;
}

/**
 * Which services have brittle upstreams: ones that fall over when they must turn
 * away more than so many requests a second.
 */
export class BrittleServices {
  private readonly observedByService = new Map<string, BrittleObservation>();
  private toldByPeers: ReadonlyMap<string, number> = new Map();

  /**
   * Records what an answer says.
   *
   * @param rejectionsPerSecond what the upstream survives; undefined if it does
   *     not say that it is brittle.
   * @param sentAtMilliseconds when the request was sent, if an upstream ran it
   *     (monotonic clock).
   */
  record(
    service: string,
    rejectionsPerSecond: number | undefined,
    sentAtMilliseconds: number | undefined,
  ): void {
    if (rejectionsPerSecond !== undefined) {
      const atMilliseconds = performance.now();
      this.observedByService.set(service, {
        rejectionsPerSecond,
        atMilliseconds,
      });
      return;
    }
    const observed = this.observedByService.get(service);
    if (!observed || sentAtMilliseconds === undefined) return;
    if (sentAtMilliseconds > observed.atMilliseconds)
      this.observedByService.delete(service);
  }

  /** Replaces what the peers say that they have seen, by service. */
  setToldByPeers(rejectionsByService: ReadonlyMap<string, number>): void {
    this.toldByPeers = rejectionsByService;
  }

  /**
   * Rejections a second that an upstream of the service survives; undefined if
   * the service is not brittle.
   */
  rejectionsPerSecond(service: string): number | undefined {
    const observed = this.currentObservation(service)?.rejectionsPerSecond;
    const told = this.toldByPeers.get(service);
    if (observed === undefined || told === undefined) return observed ?? told;
    return Math.min(observed, told);
  }

  /** What this node itself has seen, to be told to peers. */
  *observed(): Generator<readonly [string, number]> {
    for (const service of [...this.observedByService.keys()]) {
      const observation = this.currentObservation(service);
      if (observation) yield [service, observation.rejectionsPerSecond];
    }
  }

  private currentObservation(service: string): BrittleObservation | undefined {
    const observation = this.observedByService.get(service);
    if (!observation) return undefined;
    const age = performance.now() - observation.atMilliseconds;
    if (age < RETENTION_MILLISECONDS) return observation;
    this.observedByService.delete(service);
    return undefined;
  }
}
