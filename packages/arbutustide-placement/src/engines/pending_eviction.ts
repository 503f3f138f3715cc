/**
 * A model that is about to be unloaded. It is withdrawn from the nodes first,
 * so that no request is routed to it when it is unloaded.
 */
export interface PendingEviction {
  readonly model: string;
  /** Model that is loaded in its place. */
  readonly replacement: string;
  /** Monotonic time at which the eviction was decided. */
  readonly startedAtMilliseconds: number;
  /**
   * Whether requests that the engine still runs for the model hold the unload up.
   * The replacement is then planned for other engines as well.
   */
  isLate: boolean;
}

/** The model that will be loaded in the place of another, unless that is late. */
export function expectedReplacement(
  eviction: PendingEviction | undefined,
): string | undefined {
  return eviction?.isLate ? undefined : eviction?.replacement;
}
