/** Kind of a catalogue entry. */
export enum EntryKind {
  MODEL = 'model',
  ADAPTER = 'adapter',
  SERVICE = 'service',
}

/** Whether a non-idempotent request must carry an `Idempotency-Key`. */
export enum IdempotencyKeyPolicy {
  REQUIRED = 'required',
  OPTIONAL = 'optional',
}
