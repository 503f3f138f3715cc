import {ErrorKind, ExecutionStatus} from './error_kind.js';
import {RefusalError} from './refusal_error.js';

/** Short, because another node can take the request at once. */
const RETRY_AFTER_MILLISECONDS = 100;

/**
 * Creates the refusal of a request by a node that is stopping.
 *
 * @param ran whether an attempt of it may have run before.
 */
export function createStoppingRefusal(
  ran = ExecutionStatus.NOT_EXECUTED,
): RefusalError {
  return new RefusalError(ErrorKind.NOT_READY, 'this node is about to stop', {
    ran,
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  });
}
