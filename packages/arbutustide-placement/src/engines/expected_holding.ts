import type {EngineEntry} from './engine_registry.js';

/** A model, or an adapter of it, that a request needs. */
export interface RequestedHolding {
  readonly model: string;
  /** Undefined for the model itself. */
  readonly adapter: string | undefined;
}

/** The engine that will hold a model or adapter, and when. */
export interface ExpectedHolding {
  /** Id of the engine; empty until one is chosen. */
  readonly upstreamId: string;
  /** Expected time until the model or adapter is usable. */
  readonly readyInMilliseconds: number;
}

/**
 * Creates an expected holding.
 *
 * @param entry undefined if no engine has been chosen yet.
 */
export function expectedHoldingAt(
  entry: EngineEntry | undefined,
  readyInMilliseconds: number,
): ExpectedHolding {
  return {upstreamId: entry?.listed.id ?? '', readyInMilliseconds};
}
