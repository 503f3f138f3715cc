import {ResponseTimeout} from './response_timeout.js';

/**
 * Waits for a promise for a time. What has arrived by its end is read first.
 *
 * @return undefined if the promise has not settled by then.
 */
export async function settleWithin<T>(
  pending: Promise<T>,
  milliseconds: number,
): Promise<T | undefined> {
  const timeout = new ResponseTimeout(milliseconds, {
    maximumMilliseconds: milliseconds,
  });
  const expiry = new Promise<undefined>(resolve => {
    timeout.signal.addEventListener('abort', () => resolve(undefined));
  });
  try {
    return await Promise.race([pending, expiry]);
  } finally {
    timeout.close();
  }
}
