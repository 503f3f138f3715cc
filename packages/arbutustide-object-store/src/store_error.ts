/** Why a call to the object API failed. */
export enum StoreErrorKind {
  NOT_FOUND = 'not_found',
  CONFLICT = 'conflict',
  /** The changes since the version asked for are no longer known. */
  HISTORY_GONE = 'history_gone',
  /** The call had no effect. */
  UNAVAILABLE = 'unavailable',
  /** The call may have had its effect, or may yet have it. */
  OUTCOME_UNKNOWN = 'outcome_unknown',
}

/** A failed call to the object API. */
export class StoreError extends Error {
  constructor(
    readonly kind: StoreErrorKind,
    message: string,
  ) {
    super(message);
    this.name = 'StoreError';
  }

  /** Whether the store itself could not be used, as opposed to saying no. */
  get isOutage(): boolean {
    return (
      this.kind === StoreErrorKind.UNAVAILABLE ||
      this.kind === StoreErrorKind.OUTCOME_UNKNOWN
    );
  }
}
