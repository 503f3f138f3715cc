/** How an attempt at an upstream failed. */
export enum AttemptFailure {
  /** No connection was established, so no byte can have been read. */
  NOT_CONNECTED = 'not_connected',
  /** The connection ended before the answer did. */
  CLOSED = 'closed',
  /** Nothing came for longer than the class allows. */
  SILENT = 'silent',
  /** The attempt was given up here. */
  CANCELLED = 'cancelled',
  /** The upstream answered, but not to this attempt or not as agreed. */
  PROTOCOL = 'protocol',
}

/** A failed attempt at an upstream. */
export class AttemptError extends Error {
  constructor(
    readonly failure: AttemptFailure,
    message: string,
  ) {
    super(message);
    this.name = 'AttemptError';
  }

  /** False only when provably no byte of the request can have been read. */
  get mayHaveRun(): boolean {
    return this.failure !== AttemptFailure.NOT_CONNECTED;
  }
}
