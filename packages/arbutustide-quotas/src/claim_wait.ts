import {ANSWER_MILLISECONDS} from './issuer_calls.js';
import {IMMEDIATE_MILLISECONDS} from './quota_limits.js';

/**
 * How long a request waits for the claims made for it. An answer that comes
 * late still ends the wait if the request has its units then.
 */
export class ClaimWait {
  private readonly endsAtMilliseconds =
    performance.now() + IMMEDIATE_MILLISECONDS;
  private readonly claims: Promise<boolean>[] = [];
  private endWait = () => {};
  private readonly ended = new Promise<void>(resolve => {
    this.endWait = resolve;
  });

  /** Whether anything was claimed. */
  get hasClaims(): boolean {
    return this.claims.length > 0;
  }

  /** Ends the wait, as the request has its units. */
  end(): void {
    this.endWait();
  }

  /** Waits for one claim until another issuer is to be asked too. */
  async forAnswer(claim: Promise<boolean>): Promise<void> {
    this.claims.push(claim);
    const milliseconds = Math.min(ANSWER_MILLISECONDS, this.leftMilliseconds);
    await waitAtMost(milliseconds, [claim, this.ended]);
  }

  /** Waits for the claims that are not answered yet. */
  async forAll(): Promise<void> {
    const all = Promise.all(this.claims);
    await waitAtMost(this.leftMilliseconds, [all, this.ended]);
  }

  private get leftMilliseconds(): number {
    return Math.max(0, this.endsAtMilliseconds - performance.now());
  }
}

/**
 * Waits for the first of some promises. After a busy turn of the event loop the
 * timer runs before answers that have arrived are read, so they get one more.
 */
export async function waitAtMost(
  milliseconds: number,
  promises: readonly Promise<unknown>[],
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>(resolve => {
    timer = setTimeout(
      () => setImmediate(() => setImmediate(resolve)),
      milliseconds,
    );
  });
  await Promise.race([...promises, timeout]);
  clearTimeout(timer);
}
