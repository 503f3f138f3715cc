/** Counts calls to the object API by method; the platform charges each call. */
export class StoreCallCounter {
  private readonly counts = new Map<string, number>();

  constructor(private readonly onCall: (method: string) => void = () => {}) {}

  /** Counts one call. */
  record(method: string): void {
    this.counts.set(method, (this.counts.get(method) ?? 0) + 1);
    this.onCall(method);
  }

  /** Returns the number of calls of one method since the counter exists. */
  count(method: string): number {
    return this.counts.get(method) ?? 0;
  }
}
