/** Crashes that quarantine a request while no other node runs a suspect. */
const CRASHES_TO_QUARANTINE = 2;
/**
 * Crashes that quarantine a request while other nodes run other suspects, any
 * of which may have caused the crashes.
 */
const CRASHES_TO_QUARANTINE_WITH_PEER_SUSPECTS = 3;

/** What the other nodes report about suspects. */
export interface PeerSuspicions {
  /** Crashes with this request in flight, summed over the other nodes. */
  crashes(fingerprint: string): number;
  /** Whether another node runs a suspect other than this request. */
  runsOtherSuspects(fingerprint: string): boolean;
}

/** A suspect of this node, as published to the other nodes. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly crashes: number;
  readonly expiresAtMilliseconds: number;
  /** Whether this node is running it. */
  readonly isRunning: boolean;
}

/**
 * Detects poison requests: requests that crash the upstreams that run them. A
 * request that was in flight when an upstream crashed is a suspect. Suspects
 * run on separate upstreams. After further crashes a suspect is quarantined, at
 * this node and at every node that has received its crash counts.
 */
export class PoisonRequestDetector {
  private readonly suspicions = new Map<string, Suspicion>();

  /**
   * @param retentionMilliseconds time after its last crash at which a suspect
   *     is forgotten.
   * @param crashesToQuarantine crashes that quarantine a request while no other
   *     node runs a suspect; higher where each broken connection is counted as
   *     a crash.
   */
  constructor(
    private readonly retentionMilliseconds: number,
    private readonly peers: PeerSuspicions,
    private readonly crashesToQuarantine = CRASHES_TO_QUARANTINE,
  ) {}

  /** Whether the request was in flight when an upstream crashed. */
  isSuspect(fingerprint: string): boolean {
    return this.totalCrashes(fingerprint) > 0;
  }

  /** Whether the request must not run again. */
  isQuarantined(fingerprint: string): boolean {
    const crashes = this.totalCrashes(fingerprint);
    if (crashes < this.crashesToQuarantine) return false;
    if (crashes >= CRASHES_TO_QUARANTINE_WITH_PEER_SUSPECTS) return true;
    return !this.peers.runsOtherSuspects(fingerprint);
  }

  /** Records that an upstream crashed with the request in flight. */
  recordCrash(fingerprint: string): void {
    const crashes = (this.activeSuspicion(fingerprint)?.crashes ?? 0) + 1;
    this.suspicions.set(fingerprint, {
      fingerprint,
      crashes,
      expiresAtMilliseconds: performance.now() + this.retentionMilliseconds,
      isRunning: false,
    });
  }

  /** Records whether a suspect is running on this node. */
  setRunning(fingerprint: string, isRunning: boolean): void {
    const suspicion = this.activeSuspicion(fingerprint);
    if (!suspicion) return;
    this.suspicions.set(fingerprint, {...suspicion, isRunning});
  }

  /** Clears the suspicion of a request that succeeded. */
  recordSuccess(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** Suspicions of this node that have not expired. */
  *activeSuspicions(): Generator<Suspicion> {
    for (const fingerprint of this.suspicions.keys()) {
      const suspicion = this.activeSuspicion(fingerprint);
      if (suspicion) yield suspicion;
    }
  }

  private totalCrashes(fingerprint: string): number {
    const ownCrashes = this.activeSuspicion(fingerprint)?.crashes ?? 0;
    return ownCrashes + this.peers.crashes(fingerprint);
  }

  private activeSuspicion(fingerprint: string): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion) return undefined;
    if (suspicion.expiresAtMilliseconds > performance.now()) return suspicion;
    this.suspicions.delete(fingerprint);
    return undefined;
  }
}
