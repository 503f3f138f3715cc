import type {ErrorKind, ExecutionStatus} from './error_kind.js';

import {ANSWER_TABLE} from './answer_table.js';

/** Values of one refusal that replace those of its row in `ANSWER_TABLE`. */
export interface RefusalOverrides {
  /** Set where it is known whether the request ran, for example "not run". */
  readonly ran?: ExecutionStatus;
  readonly retryAfterMilliseconds?: number;
}

/**
 * A refusal of a caller's request. Functions return it as the error of a
 * `Result`; they do not throw it.
 */
export class RefusalError extends Error {
  readonly ran: ExecutionStatus;
  readonly retryAfterMilliseconds: number | undefined;

  constructor(
    readonly kind: ErrorKind,
    message: string,
    overrides: RefusalOverrides = {},
  ) {
    super(message);
    this.name = 'RefusalError';
    const row = ANSWER_TABLE[kind];
    this.ran = overrides.ran ?? row.ran;
    this.retryAfterMilliseconds =
      overrides.retryAfterMilliseconds ?? row.retryAfterMilliseconds;
  }
}
