import type {ExpectedLoads} from '@arbutustide/membership';

import {modelEntryName} from '@arbutustide/routing';

/** Pause in the requests for a model after which its wait begins anew. */
const WAIT_RETENTION_MILLISECONDS = 2_000;
/** Entries kept; the oldest are dropped. */
const MAXIMUM_ENTRIES = 1_024;

/** What this node knows of the models that no upstream holds. */
export interface ModelWaitSources {
  /**
   * Least time in which some upstream can load a model: zero while it is not
   * known, undefined if the model is not in the catalogue.
   */
  readonly loadMilliseconds: (
    service: string,
    model: string,
  ) => number | undefined;
  /** What the planner has announced. */
  readonly expectedLoads: () => ExpectedLoads;
  /** Whether a node is known to plan. */
  readonly isPlannerKnown: () => boolean;
}

/** Requests for a model that no upstream holds. */
interface ModelWait {
  readonly beganAtMilliseconds: number;
  lastWantedAtMilliseconds: number;
}

/** How long requests will wait for models that no upstream holds. */
export class ModelWaits {
  private readonly waits = new Map<string, ModelWait>();

  constructor(private readonly sources: ModelWaitSources) {}

  /** Records that a request waits for the model. */
  recordWanted(service: string, model: string): void {
    const entry = modelEntryName(service, model);
    const now = performance.now();
    const wait = this.currentWait(entry);
    if (wait) {
      wait.lastWantedAtMilliseconds = now;
      return;
    }
    this.waits.delete(entry);
    const [oldest] = this.waits.keys();
    if (oldest !== undefined && this.waits.size >= MAXIMUM_ENTRIES)
      this.waits.delete(oldest);
    this.waits.set(entry, {
      beganAtMilliseconds: now,
      lastWantedAtMilliseconds: now,
    });
  }

  /** Whether the planner may not know yet that the model is wanted. */
  isUnannounced(service: string, model: string): boolean {
    const {loadMilliseconds, expectedLoads} = this.sources;
    return (
      loadMilliseconds(service, model) !== undefined &&
      !expectedLoads().has(modelEntryName(service, model))
    );
  }

  /**
   * Time until the model is expected to be held, in milliseconds; undefined if it
   * will not be. A load that is overdue, and one of which nothing is known, are
   * taken to last as long again as they have so far.
   */
  expectedMilliseconds(service: string, model: string): number | undefined {
    const entry = modelEntryName(service, model);
    const {loadMilliseconds, expectedLoads, isPlannerKnown} = this.sources;
    const shortestLoad = loadMilliseconds(service, model);
    if (shortestLoad === undefined) return undefined;
    const now = performance.now();
    const readyAt = expectedLoads().get(entry);
    if (readyAt === Infinity) return undefined;
    if (readyAt !== undefined) return Math.abs(readyAt - now);
    const waited = now - (this.currentWait(entry)?.beganAtMilliseconds ?? now);
    return Math.max(isPlannerKnown() ? shortestLoad : 0, waited);
  }

  private currentWait(entry: string): ModelWait | undefined {
    const wait = this.waits.get(entry);
    if (!wait) return undefined;
    const pause = performance.now() - wait.lastWantedAtMilliseconds;
    return pause < WAIT_RETENTION_MILLISECONDS ? wait : undefined;
  }
}
