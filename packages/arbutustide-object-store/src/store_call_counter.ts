/** Counts calls to the object API by method; the platform charges each. */
export class StoreCallCounter {
  private readonly counts = new Map<string, number>();

  constructor(private readonly onCall: (method: string) => void = () => {}) {}

  /** Records one call. */
  record(method: string): void {
    this.counts.set(method, (this.counts.get(method) ?? 0) + 1);
    this.onCall(method);
  }

  /** Calls of one method since the start. */
  count(method: string): number {
    return this.counts.get(method) ?? 0;
  }
}
