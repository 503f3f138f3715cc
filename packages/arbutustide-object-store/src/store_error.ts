/** Reason for the failure of a call to the object API. */
export enum StoreErrorKind {
  NOT_FOUND = 'not_found',
  CONFLICT = 'conflict',
  /** The store no longer has the changes after the requested version. */
  HISTORY_GONE = 'history_gone',
  /**
   * The store was restored from a copy since the versions in the call were
   * read. A write may have taken effect; nothing read before it still holds.
   */
  ERA_CHANGED = 'era_changed',
  /** The call had no effect. */
  UNAVAILABLE = 'unavailable',
  /** The call may have taken effect, or may still take effect later. */
  OUTCOME_UNKNOWN = 'outcome_unknown',
}

/** A failed call to the object API. */
export class StoreError extends Error {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
    /** Whether the store was silent for longer than the call may take. */
    readonly isTimeout = false,
  ) {
    super(message);
    this.name = 'StoreError';
  }

  /** Whether the store failed to serve the call, rather than rejected it. */
  get isOutage(): boolean {
    return (
      this.kind === StoreErrorKind.UNAVAILABLE ||
      this.kind === StoreErrorKind.OUTCOME_UNKNOWN
    );
  }
}
