/** Yields the values of promises in the order in which they resolve. */
export async function* inOrderOfResolution<T>(
  promises: readonly Promise<T>[],
): AsyncGenerator<T> {
  const pending = new Map(
    promises.map((promise, index) => [
      index,
      promise.then(value => ({index, value})),
    ]),
  );
  while (pending.size > 0) {
    const {index, value} = await Promise.race(pending.values());
    pending.delete(index);
    yield value;
  }
}
