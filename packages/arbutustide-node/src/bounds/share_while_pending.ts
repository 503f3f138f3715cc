/** Makes at most one call at a time; all that ask meanwhile share its result. */
export function shareWhilePending<Result>(
  call: () => Promise<Result>,
): () => Promise<Result> {
  let pending: Promise<Result> | undefined;
  return () => (pending ??= call().finally(() => (pending = undefined)));
}
