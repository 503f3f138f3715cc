import type {QuotaClaim, QuotaGrant} from './quota_messages.js';

/** A node that issues a team's quota. */
export interface QuotaIssuerAddress {
  readonly identity: string;
  readonly peerUrl: string;
}

/** Calls an issuer; undefined if it did not answer. */
export type CallIssuer = (
  issuer: QuotaIssuerAddress,
  claims: readonly QuotaClaim[],
) => Promise<readonly QuotaGrant[] | undefined>;

/**
 * Called when the answer to a claim arrives, also after the wait for it ended.
 *
 * @param sentAtMilliseconds time from which the granted units are valid.
 */
export type GrantListener = (
  grant: QuotaGrant,
  sentAtMilliseconds: number,
) => void;

interface PendingClaim {
  readonly claim: QuotaClaim;
  readonly onGrant: GrantListener;
  readonly settle: (isAnswered: boolean) => void;
}

/** A call takes 3 to 11 ms; one to a peer that is gone may take a second. */
const ANSWER_MILLISECONDS = 250;
/** Time after which an issuer that did not answer is tried again. */
const SILENCE_MILLISECONDS = 500;

/**
 * Sends claims to issuers. Claims made at the same time for several teams of
 * one issuer go in one call.
 */
export class IssuerCalls {
  private readonly pendingByIssuer = new Map<string, PendingClaim[]>();
  /** When an issuer that did not answer is tried again, by identity. */
  private readonly retryAtByIssuer = new Map<string, number>();

  constructor(private readonly call: CallIssuer) {}

  /** Whether the issuer's latest call was not answered. */
  isSilent({identity}: QuotaIssuerAddress): boolean {
    return this.retryAtByIssuer.has(identity);
  }

  /** Whether an issuer that did not answer is to be tried again. */
  isRetryDue({identity}: QuotaIssuerAddress): boolean {
    const retryAt = this.retryAtByIssuer.get(identity) ?? -Infinity;
    return performance.now() >= retryAt;
  }

  /**
   * Sends a claim. Resolves to whether it was answered in time; a later answer
   * still reaches the listener.
   */
  async send(
    issuer: QuotaIssuerAddress,
    claim: QuotaClaim,
    onGrant: GrantListener,
  ): Promise<boolean> {
    const answered = new Promise<boolean>(resolve => {
      this.enqueue(issuer, {claim, onGrant, settle: resolve});
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<false>(resolve => {
      timer = setTimeout(() => resolve(false), ANSWER_MILLISECONDS);
    });
    const isAnswered = await Promise.race([answered, timeout]);
    clearTimeout(timer);
    if (!isAnswered) this.recordSilence(issuer);
    return isAnswered;
  }

  private recordSilence({identity}: QuotaIssuerAddress): void {
    const now = performance.now();
    for (const [silent, retryAt] of this.retryAtByIssuer) {
      if (now - retryAt > ANSWER_MILLISECONDS + SILENCE_MILLISECONDS)
        this.retryAtByIssuer.delete(silent);
    }
    this.retryAtByIssuer.set(identity, now + SILENCE_MILLISECONDS);
  }

  private enqueue(issuer: QuotaIssuerAddress, pending: PendingClaim): void {
    const waiting = this.pendingByIssuer.get(issuer.identity);
    if (waiting) {
      waiting.push(pending);
      return;
    }
    this.pendingByIssuer.set(issuer.identity, [pending]);
    // Claims of the same turn of the event loop join this call.
    void Promise.resolve().then(() => this.flush(issuer));
  }

  private async flush(issuer: QuotaIssuerAddress): Promise<void> {
    const pending = this.pendingByIssuer.get(issuer.identity) ?? [];
    this.pendingByIssuer.delete(issuer.identity);
    const sentAt = performance.now();
    const grants = await this.call(
      issuer,
      pending.map(({claim}) => claim),
    );
    if (grants) this.retryAtByIssuer.delete(issuer.identity);
    for (const [index, {claim, onGrant, settle}] of pending.entries()) {
      const grant = grants?.[index];
      const isMatching = grant?.team === claim.team;
      if (isMatching) onGrant(grant, sentAt);
      settle(isMatching);
    }
  }
}
