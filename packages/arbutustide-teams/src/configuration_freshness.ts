import {ErrorKind, RefusalError} from '@arbutustide/errors';

/** Time for a confirmation of the configuration to arrive. */
const RETRY_AFTER_MILLISECONDS = 500;

/** Refuses a request whose key may have been revoked without notice. */
export function createUnconfirmedRefusal(): RefusalError {
  return new RefusalError(
    ErrorKind.CONFIGURATION_UNCONFIRMED,
    'this node has not confirmed recently that keys are valid',
    {retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS},
  );
}
