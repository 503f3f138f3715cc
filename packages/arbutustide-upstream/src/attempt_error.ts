/** Reason for the failure of an attempt at an upstream. */
export enum AttemptFailure {
  /** No connection was established, so the upstream read no byte. */
  NOT_CONNECTED = 'not_connected',
  /** The connection was closed before the end of the answer. */
  CONNECTION_LOST = 'closed',
  /** Nothing arrived for longer than the time limit. */
  INACTIVITY_TIMEOUT = 'silent',
  /** This node ended the attempt before it wrote a byte of the request. */
  NOT_SENT = 'not_sent',
  /** This node cancelled the attempt. */
  CANCELLED = 'cancelled',
  /** The answer belongs to another attempt or violates the protocol. */
  PROTOCOL_VIOLATION = 'protocol',
}

const UNSENT_FAILURES: ReadonlySet<AttemptFailure> = new Set([
  AttemptFailure.NOT_CONNECTED,
  AttemptFailure.NOT_SENT,
]);

/** A failed attempt at an upstream. */
export class AttemptError extends Error {
  /**
   * @param isRefused whether the connection was refused, so that no process
   *     listens at the upstream's address.
   */
  constructor(
    readonly failure: AttemptFailure,
    message: string,
    readonly isRefused = false,
  ) {
    super(message);
    this.name = 'AttemptError';
  }

  /** False only if the upstream provably read no byte of the request. */
  get mayHaveRun(): boolean {
    return !UNSENT_FAILURES.has(this.failure);
  }
}
