/** What a catalogue entry names. */
export enum EntryKind {
  MODEL = 'model',
  ADAPTER = 'adapter',
  SERVICE = 'service',
}

/** Whether a request to an entry must, may or need not carry a key. */
export enum IdempotencyKeyPolicy {
  REQUIRED = 'required',
  OPTIONAL = 'optional',
}
