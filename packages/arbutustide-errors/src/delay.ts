/**
 * Waits, or returns early when the signal is aborted.
 *
 * @param milliseconds how long to wait.
 * @return true when the whole time passed, false when aborted.
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
