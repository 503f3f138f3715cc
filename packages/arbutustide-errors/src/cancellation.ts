/** Called once when something is cancelled. */
export type CancelListener = (reason: unknown) => void;

/**
 * Something that may be cancelled once. Cheaper than an `AbortController`,
 * which is made only when a library asks for a signal.
 */
export class Cancellation {
  private readonly listeners = new Set<CancelListener>();
  private controller: AbortController | undefined;
  private cancelled = false;
  private reason: unknown;

  get isCancelled(): boolean {
    return this.cancelled;
  }

  /** A signal for what takes no other; the same at each use. */
  get signal(): AbortSignal {
    if (!this.controller) {
      this.controller = new AbortController();
      if (this.cancelled) this.controller.abort(this.reason);
    }
    return this.controller.signal;
  }

  /** Cancels; later calls do nothing. */
  cancel(reason: unknown): void {
    if (this.cancelled) return;
    this.cancelled = true;
    this.reason = reason;
    this.controller?.abort(reason);
    for (const listener of this.listeners) listener(reason);
    this.listeners.clear();
  }

  /**
   * Calls back on cancellation, at once if it is already so.
   *
   * @return forgets the listener.
   */
  onCancel(listener: CancelListener): () => void {
    if (this.cancelled) {
      listener(this.reason);
      return () => {};
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
