/** Crashes that convict a request when it was the only suspect. */
const CRASHES_TO_CONVICT = 2;
/** Crashes that convict it while others are suspected as well. */
const CRASHES_TO_CONVICT_AMONG_OTHERS = 3;

/** Crashes the other nodes counted. */
export interface PeerSuspicions {
  /** Crashes with this request in flight, summed over the other nodes. */
  crashes(fingerprint: string): number;
  /** Whether the other nodes suspect any other request. */
  suspectsOthers(fingerprint: string): boolean;
}

/** A suspicion of this node, to be told to the others. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly crashes: number;
  readonly expiresAtMilliseconds: number;
}

/**
 * Remembers which requests were in flight when an upstream crashed. One crash
 * makes a suspect; a suspect is run apart from other suspects, and a second
 * crash convicts it, here and at every node that hears of it.
 */
export class RequestSuspects {
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(
    private readonly memoryMilliseconds: number,
    private readonly peers: PeerSuspicions,
  ) {}

  /** Whether the request was in flight at a crash. */
  isSuspect(fingerprint: string): boolean {
    return this.totalCrashes(fingerprint) > 0;
  }

  /** Whether the request must not run any more. */
  isQuarantined(fingerprint: string): boolean {
    const crashes = this.totalCrashes(fingerprint);
    if (crashes < CRASHES_TO_CONVICT) return false;
    if (crashes >= CRASHES_TO_CONVICT_AMONG_OTHERS) return true;
    return !this.suspectsOthers(fingerprint);
  }

  /** Records that an upstream crashed with the request in flight. */
  recordCrash(fingerprint: string): void {
    const crashes = (this.own(fingerprint)?.crashes ?? 0) + 1;
    this.suspicions.set(fingerprint, {
      fingerprint,
      crashes,
      expiresAtMilliseconds: performance.now() + this.memoryMilliseconds,
    });
  }

  /** Clears a suspect that ran to its end. */
  recordSuccess(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** The suspicions of this node that have not expired. */
  *current(): Generator<Suspicion> {
    for (const fingerprint of this.suspicions.keys()) {
      const suspicion = this.own(fingerprint);
      if (suspicion) yield suspicion;
    }
  }

  private totalCrashes(fingerprint: string): number {
    const own = this.own(fingerprint)?.crashes ?? 0;
    return own + this.peers.crashes(fingerprint);
  }

  private suspectsOthers(fingerprint: string): boolean {
    for (const other of this.current()) {
      if (other.fingerprint !== fingerprint) return true;
    }
    return this.peers.suspectsOthers(fingerprint);
  }

  private own(fingerprint: string): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion) return undefined;
    if (suspicion.expiresAtMilliseconds > performance.now()) return suspicion;
    this.suspicions.delete(fingerprint);
    return undefined;
  }
}
