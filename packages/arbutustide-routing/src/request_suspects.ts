/** Crashes that convict a request while no other node runs a suspect. */
const CRASHES_TO_QUARANTINE = 2;
/** Crashes that convict it while other nodes run suspects as well. */
const CRASHES_TO_QUARANTINE_DESPITE_OTHERS = 3;

/** Crashes the other nodes counted. */
export interface PeerSuspicions {
  /** Crashes with this request in flight, summed over the other nodes. */
  crashes(fingerprint: string): number;
  /** Whether another node runs a suspect other than this request. */
  runsOthers(fingerprint: string): boolean;
}

/** A suspicion of this node, to be told to the others. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly crashes: number;
  readonly expiresAtMilliseconds: number;
  /** Whether this node runs it at this moment. */
  readonly isRunning: boolean;
}

/**
 * Remembers which requests were in flight when an upstream crashed. One crash
 * makes a suspect; a suspect is run apart from other suspects, and a second
 * crash convicts it, here and at every node that hears of it.
 */
export class RequestSuspects {
  private readonly suspicions = new Map<string, Suspicion>();

  /**
   * @param crashesToQuarantine crashes that convict a request while no other node
   *     runs a suspect; more where a broken connection alone counts as one.
   */
  constructor(
    private readonly retentionMilliseconds: number,
    private readonly peers: PeerSuspicions,
    private readonly crashesToQuarantine = CRASHES_TO_QUARANTINE,
  ) {}

  /** Whether the request was in flight at a crash. */
  isSuspect(fingerprint: string): boolean {
    return this.totalCrashes(fingerprint) > 0;
  }

  /** Whether the request must not run any more. */
  isQuarantined(fingerprint: string): boolean {
    const crashes = this.totalCrashes(fingerprint);
    if (crashes < this.crashesToQuarantine) return false;
    if (crashes >= CRASHES_TO_QUARANTINE_DESPITE_OTHERS) return true;
    return !this.peers.runsOthers(fingerprint);
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

  /** Records that a suspect begins or ends to run on this node. */
  setRunning(fingerprint: string, isRunning: boolean): void {
    const suspicion = this.activeSuspicion(fingerprint);
    if (!suspicion) return;
    this.suspicions.set(fingerprint, {...suspicion, isRunning});
  }

  /** Clears a suspect that ran to its end. */
  recordSuccess(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** The suspicions of this node that have not expired. */
  *current(): Generator<Suspicion> {
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
