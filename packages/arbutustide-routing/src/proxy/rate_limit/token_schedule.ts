/** When a token is valid, or when to ask for it again. */
export interface ScheduledToken {
  readonly isIssued: boolean;
  /**
   * Time until the token is valid or, if none was issued, until another may be;
   * in milliseconds.
   */
  readonly waitMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Unused tokens accumulate over this time, so that small bursts pass. */
const BURST_MILLISECONDS = 250;

/** Tokens are issued at most this long before they are valid. */
export const MAXIMUM_ADVANCE_MILLISECONDS = 1_000;

/**
 * Longest time between two tokens. Without any request it would never show that
 * a limit of zero has ended.
 */
const MAXIMUM_INTERVAL_MILLISECONDS = 20_000;

/**
 * Spaces tokens in time so that their rate stays within a limit (generic cell
 * rate algorithm).
 */
export class TokenSchedule {
  private lastTokenAtMilliseconds = -Infinity;
  private readonly firstTokenAtMilliseconds: number;

  /** @param delayMilliseconds time until the first token. */
  constructor(delayMilliseconds: number) {
    this.firstTokenAtMilliseconds = performance.now() + delayMilliseconds;
  }

  /** Issues a token at this rate, unless it would be valid too late. */
  issue(tokensPerSecond: number): ScheduledToken {
    const now = performance.now();
    const validAtMilliseconds = Math.max(
      this.firstTokenAtMilliseconds,
      this.lastTokenAtMilliseconds + tokenIntervalMilliseconds(tokensPerSecond),
      now - BURST_MILLISECONDS,
    );
    const waitMilliseconds = Math.max(0, validAtMilliseconds - now);
    if (waitMilliseconds > MAXIMUM_ADVANCE_MILLISECONDS) {
      return {
        isIssued: false,
        waitMilliseconds: waitMilliseconds - MAXIMUM_ADVANCE_MILLISECONDS,
      };
    }
    this.lastTokenAtMilliseconds = validAtMilliseconds;
    return {isIssued: true, waitMilliseconds};
  }
}

/** Time between two tokens at a rate. */
export function tokenIntervalMilliseconds(tokensPerSecond: number): number {
  return Math.min(
    MAXIMUM_INTERVAL_MILLISECONDS,
    MILLISECONDS_PER_SECOND / tokensPerSecond,
  );
}
