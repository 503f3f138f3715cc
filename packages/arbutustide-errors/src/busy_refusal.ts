import {ErrorKind} from './error_kind.js';
import {RefusalError} from './refusal_error.js';

/** Creates the refusal of a request beyond what a node can hold. */
export function createBusyRefusal(): RefusalError {
  const reason = 'this node has as many requests as it can hold';
  return new RefusalError(ErrorKind.NOT_READY, reason);
}
