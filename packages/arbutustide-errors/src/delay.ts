/**
 * Waits for a time, or until the signal is aborted. Never rejects.
 *
 * @return true if the whole time elapsed, false if aborted.
 */
export function delay(
  milliseconds: number,
  signal?: AbortSignal,
): Promise<boolean> {
  if (signal?.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort);
      resolve(true);
    }, milliseconds);
    signal?.addEventListener('abort', onAbort, {once: true});
  });
}
