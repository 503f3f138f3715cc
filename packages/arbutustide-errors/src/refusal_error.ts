import type {ErrorKind, Ran} from './error_kind.js';

import {ANSWER_TABLE} from './answer_table.js';

/** Facts that make one refusal more specific than its row in the table. */
export interface RefusalOverrides {
  /** Overrides the table where the code knows more, for example "not run". */
  readonly ran?: Ran;
  /** Overrides the table's delay, in milliseconds. */
  readonly retryAfterMilliseconds?: number;
}

/** A refusal of a caller's request, carried as the error of a `Result`. */
export class RefusalError extends Error {
  readonly ran: Ran;
  readonly retryAfterMilliseconds: number | undefined;

  constructor(
    readonly kind: ErrorKind,
    message: string,
    detail: RefusalOverrides = {},
  ) {
    super(message);
    this.name = 'RefusalError';
    const row = ANSWER_TABLE[kind];
    this.ran = detail.ran ?? row.ran;
    this.retryAfterMilliseconds =
      detail.retryAfterMilliseconds ?? row.retryAfterMilliseconds;
  }
}
