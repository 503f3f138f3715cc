import type {StoreError} from '@arbutustide/object-store';

import type {ExitCode} from './exit_code.js';

import {exitCodeForStoreError} from './exit_code.js';

/** A command that failed for a reason the operator is told. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}

/** The failure of a command whose call to the object API failed. */
export function toStoreCommandError(error: StoreError): CommandError {
  return new CommandError(exitCodeForStoreError(error.kind), error.message);
}
