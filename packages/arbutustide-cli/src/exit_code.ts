import {StoreErrorKind} from '@arbutustide/object-store';

/** Exit codes of the binary; documented in docs/OPERATIONS.md. */
export enum ExitCode {
  SUCCESS = 0,
  INTERNAL = 1,
  USAGE = 2,
  INVALID_DOCUMENT = 3,
  CONFLICT = 4,
  UNAVAILABLE = 5,
  NOT_IN_FORCE = 6,
  NOT_FOUND = 7,
  OUTCOME_UNKNOWN = 8,
}

const EXIT_CODE_BY_STORE_ERROR: Readonly<Record<StoreErrorKind, ExitCode>> = {
  [StoreErrorKind.NOT_FOUND]: ExitCode.NOT_FOUND,
  [StoreErrorKind.CONFLICT]: ExitCode.CONFLICT,
  [StoreErrorKind.HISTORY_GONE]: ExitCode.UNAVAILABLE,
  [StoreErrorKind.ERA_CHANGED]: ExitCode.OUTCOME_UNKNOWN,
  [StoreErrorKind.UNAVAILABLE]: ExitCode.UNAVAILABLE,
  [StoreErrorKind.OUTCOME_UNKNOWN]: ExitCode.OUTCOME_UNKNOWN,
};

/** Exit code for a failed call to the object API. */
export function exitCodeForStoreError(kind: StoreErrorKind): ExitCode {
  return EXIT_CODE_BY_STORE_ERROR[kind];
}
