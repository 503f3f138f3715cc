import {ErrorKind, ExecutionStatus} from './error_kind.js';
import {RefusalError} from './refusal_error.js';

/** Short, because another node can take the request at once. */
const RETRY_AFTER_MILLISECONDS = 100;

/** Refuses a request that a node which stops does not take, or lets wait. */
export function createStoppingRefusal(
  ran = ExecutionStatus.NOT_EXECUTED,
): RefusalError {
  return new RefusalError(ErrorKind.NOT_READY, 'this node is about to stop', {
    ran,
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  });
}
