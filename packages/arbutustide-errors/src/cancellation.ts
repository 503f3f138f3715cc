/** Called at most once, with the reason that was passed to `cancel`. */
export type CancelListener = (reason: unknown) => void;

/**
 * Cancellation token that can be cancelled once. It is cheaper than an
 * `AbortController`, which is created only on the first use of `signal`.
 */
export class Cancellation {
  private readonly listeners = new Set<CancelListener>();
  private controller: AbortController | undefined;
  private cancelled = false;
  private reason: unknown;

  get isCancelled(): boolean {
    return this.cancelled;
  }

  /** The reason that was passed to `cancel`; undefined until then. */
  get cancelReason(): unknown {
    return this.reason;
  }

  /**
   * The same token as an `AbortSignal`, for APIs that accept no other type.
   * Always returns the same signal.
   */
  get signal(): AbortSignal {
    if (!this.controller) {
      this.controller = new AbortController();
      if (this.cancelled) this.controller.abort(this.reason);
    }
    return this.controller.signal;
  }

  /** Notifies all listeners and aborts `signal`; later calls have no effect. */
  cancel(reason: unknown): void {
    if (this.cancelled) return;
    this.cancelled = true;
    this.reason = reason;
    this.controller?.abort(reason);
    for (const listener of this.listeners) listener(reason);
    this.listeners.clear();
  }

  /**
   * Adds a listener. If already cancelled, calls it synchronously instead.
   *
   * @return a function that removes the listener.
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
