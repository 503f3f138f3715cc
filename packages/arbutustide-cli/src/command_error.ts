import type {StoreError} from '@arbutustide/object-store';

import type {ExitCode} from './exit_code.js';

import {exitCodeForStoreError} from './exit_code.js';

/** An expected failure of a command; the message is shown to the operator. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}

/** Converts a failed call to the object API. */
export function toStoreCommandError(error: StoreError): CommandError {
  return new CommandError(exitCodeForStoreError(error.kind), error.message);
}
