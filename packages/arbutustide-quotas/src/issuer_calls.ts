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

/** What is known of an issuer that was called. */
interface IssuerContact {
  /** Calls that have neither been answered nor failed. */
  openCalls: number;
  /** Since when nothing has arrived from it though it was called. */
  unansweredSinceMilliseconds: number | undefined;
  calledAtMilliseconds: number;
  hasFailed: boolean;
}

/**
 * Time after which another issuer is asked too. A call takes 3 to 11 ms on an
 * idle host and up to 600 ms on a busy one; one to a peer that is gone may take
 * a second.
 */
export const ANSWER_MILLISECONDS = 250;
/** Time without any answer after which an issuer counts as gone. */
const SILENCE_MILLISECONDS = 1_000;
/** Time from the latest call until a silent issuer is tried again. */
const RETRY_MILLISECONDS = 750;
/** Time from the latest call for which an issuer's failure is remembered. */
const CONTACT_MILLISECONDS = 2_000;
/** Calls to one issuer that may be open at a time. */
const MAXIMUM_OPEN_CALLS = 3;

/**
 * Sends claims to issuers. Claims for several teams of one issuer go in one
 * call, and few calls are open at a time: on hosts with 0.12 of a core the calls of
 * many nodes would otherwise keep the issuer from answering any.
 */
export class IssuerCalls {
  private readonly pendingByIssuer = new Map<string, PendingClaim[]>();
  private readonly contactByIssuer = new Map<string, IssuerContact>();

  constructor(private readonly call: CallIssuer) {}

  /** Whether to prefer others: a call to the issuer failed or takes long. */
  isSlow({identity}: QuotaIssuerAddress): boolean {
    const contact = this.contactByIssuer.get(identity);
    return (
      contact !== undefined &&
      (contact.hasFailed ||
        unansweredMilliseconds(contact) >= ANSWER_MILLISECONDS)
    );
  }

  /** Whether the issuer was called and nothing has arrived for a while. */
  isSilent({identity}: QuotaIssuerAddress): boolean {
    const contact = this.contactByIssuer.get(identity);
    return (
      contact !== undefined &&
      unansweredMilliseconds(contact) >= SILENCE_MILLISECONDS
    );
  }

  /** Whether the issuer may be called: a silent one only now and then. */
  isRetryDue(issuer: QuotaIssuerAddress): boolean {
    const contact = this.contactByIssuer.get(issuer.identity);
    if (!contact || !this.isSilent(issuer)) return true;
    const passed = performance.now() - contact.calledAtMilliseconds;
    return passed >= RETRY_MILLISECONDS;
  }

  /**
   * Sends a claim. Resolves to whether it was answered, once the call has ended;
   * the caller limits the wait.
   */
  send(
    issuer: QuotaIssuerAddress,
    claim: QuotaClaim,
    onGrant: GrantListener,
  ): Promise<boolean> {
    return new Promise<boolean>(resolve => {
      this.enqueue(issuer, {claim, onGrant, settle: resolve});
    });
  }

  private recordCall({identity}: QuotaIssuerAddress): IssuerContact {
    const now = performance.now();
    for (const [known, {openCalls, calledAtMilliseconds}] of this
      .contactByIssuer) {
      const age = now - calledAtMilliseconds;
      if (openCalls === 0 && age > CONTACT_MILLISECONDS)
        this.contactByIssuer.delete(known);
    }
    const contact = this.contactByIssuer.get(identity) ?? {
      openCalls: 0,
      unansweredSinceMilliseconds: undefined,
      calledAtMilliseconds: now,
      hasFailed: false,
    };
    contact.openCalls += 1;
    contact.unansweredSinceMilliseconds ??= now;
    contact.calledAtMilliseconds = now;
    this.contactByIssuer.set(identity, contact);
    return contact;
  }

  private enqueue(issuer: QuotaIssuerAddress, pending: PendingClaim): void {
    const waiting = this.pendingByIssuer.get(issuer.identity);
    if (waiting) {
      waiting.push(pending);
      return;
    }
    this.pendingByIssuer.set(issuer.identity, [pending]);
    // Claims of the same turn of the event loop join this call; those that come
    // while as many calls are open as may be go in the next one.
    if (!this.isBusy(issuer))
      void Promise.resolve().then(() => this.flush(issuer));
  }

  private isBusy({identity}: QuotaIssuerAddress): boolean {
    const openCalls = this.contactByIssuer.get(identity)?.openCalls ?? 0;
    return openCalls >= MAXIMUM_OPEN_CALLS;
  }

  private async flush(issuer: QuotaIssuerAddress): Promise<void> {
    const pending = this.pendingByIssuer.get(issuer.identity) ?? [];
    this.pendingByIssuer.delete(issuer.identity);
    const sentAt = performance.now();
    const contact = this.recordCall(issuer);
    const grants = await this.call(
      issuer,
      pending.map(({claim}) => claim),
    );
    recordOutcome(contact, grants !== undefined);
    for (const [index, {claim, onGrant, settle}] of pending.entries()) {
      const grant = grants?.[index];
      const isMatching = grant?.team === claim.team;
      if (isMatching) onGrant(grant, sentAt);
      settle(isMatching);
    }
    if (this.pendingByIssuer.has(issuer.identity)) void this.flush(issuer);
  }
}

function recordOutcome(contact: IssuerContact, isAnswered: boolean): void {
  contact.openCalls -= 1;
  contact.hasFailed = !isAnswered;
  if (!isAnswered) return;
  contact.unansweredSinceMilliseconds =
    contact.openCalls > 0 ? performance.now() : undefined;
}

function unansweredMilliseconds(contact: IssuerContact): number {
  const {unansweredSinceMilliseconds: since} = contact;
  return since === undefined ? 0 : performance.now() - since;
}
