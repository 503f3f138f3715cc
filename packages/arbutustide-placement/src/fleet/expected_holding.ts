import type {EngineEntry} from './engine_registry.js';

/** Where a model or adapter will be held, and when. */
export interface ExpectedHolding {
  /** Empty while the engine has not been chosen. */
  readonly upstreamId: string;
  readonly readyInMilliseconds: number;
}

/** A holding at an engine, or at one that is yet to be chosen. */
export function expectedHoldingAt(
  entry: EngineEntry | undefined,
  readyInMilliseconds: number,
): ExpectedHolding {
  return {upstreamId: entry?.listed.id ?? '', readyInMilliseconds};
}
