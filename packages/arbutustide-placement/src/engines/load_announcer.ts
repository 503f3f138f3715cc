import type {
  CataloguedModel,
  EnginePlannerEnvironment,
  EngineService,
} from './engine_planner_environment.js';
import type {EngineEntry} from './engine_registry.js';
import type {DecidedLoad} from './expected_loads.js';

import {decidedLoads, expectedWaits} from './expected_loads.js';
import {expectedLoadMilliseconds, hasLocalCopy} from './load_estimates.js';

/** Times that change by less are not published again. */
const MINIMUM_CHANGE_MILLISECONDS = 500;
/** The same as a share of the time. */
const MINIMUM_CHANGE_SHARE = 0.25;

/** Time for which loads are expected to wait for others. */
export interface LoadAnnouncerSettings {
  readonly evictionNoticeMilliseconds: number;
}

/**
 * Publishes to all nodes when the models that their requests wait for will be
 * held, so that no node has to ask.
 */
export class LoadAnnouncer {
  /** When decided loads began, by engine and model. */
  private beganAtMilliseconds = new Map<string, number>();
  /** Since when requested models have been without a load, by entry. */
  private waitingSinceMilliseconds = new Map<string, number>();
  /** When each model is held according to what is published. */
  private published: ReadonlyMap<string, number> | undefined;
  private publishedEpoch = 0;

  constructor(
    private readonly environment: EnginePlannerEnvironment,
    private readonly settings: LoadAnnouncerSettings,
  ) {}

  /** Publishes what is expected, if it differs from what is published. */
  announce(entries: readonly EngineEntry[], epoch: number): void {
    const now = performance.now();
    const readyAt = new Map<string, number>();
    const began = new Map<string, number>();
    const waitingSince = new Map<string, number>();
    for (const service of this.environment.listServices()) {
      const engines = entries.filter(
        ({listed}) => listed.service === service.name && listed.isReady,
      );
      const freeAt = new Map(engines.map(({listed}) => [listed.id, now]));
      for (const load of this.listLoads(service, engines)) {
        const key = `${load.engineId} ${load.model}`;
        const beganAt =
          load.decidedAtMilliseconds ??
          this.beganAtMilliseconds.get(key) ??
          now;
        began.set(key, beganAt);
        const loadedAt = beganAt + load.expectedMilliseconds;
        freeAt.set(load.engineId, Math.max(now, loadedAt));
        if (isHeld(engines, load.model)) continue;
        const entry = entryNameOf(service, load.model);
        readyAt.set(entry, Math.min(readyAt.get(entry) ?? Infinity, loadedAt));
      }
      const waiting = this.listWaiting(service, engines, readyAt);
      for (const {name} of waiting) {
        const entry = entryNameOf(service, name);
        const since = this.waitingSinceMilliseconds.get(entry) ?? now;
        waitingSince.set(entry, since);
      }
      const freeIn = [...freeAt.values()].map(time => time - now);
      const waits = this.listWaits(service, waiting, engines, freeIn);
      for (const [entry, wait] of waits) {
        // A model that has found no place so far may find none soon.
        const waited = now - (waitingSince.get(entry) ?? now);
        readyAt.set(entry, now + Math.max(wait, waited));
      }
    }
    this.beganAtMilliseconds = began;
    this.waitingSinceMilliseconds = waitingSince;
    this.publish(readyAt, now, epoch);
  }

  /** Withdraws what was published, as this node plans no longer. */
  withdraw(epoch: number): void {
    this.published = undefined;
    this.beganAtMilliseconds.clear();
    this.waitingSinceMilliseconds.clear();
    this.environment.publishExpectedLoads(undefined, epoch);
  }

  private listLoads(
    service: EngineService,
    engines: readonly EngineEntry[],
  ): Iterable<DecidedLoad> {
    const {evictionNoticeMilliseconds} = this.settings;
    return decidedLoads(service, engines, evictionNoticeMilliseconds);
  }

  /** Requested models that none holds or loads, the most requested first. */
  private listWaiting(
    {name: service, models}: EngineService,
    engines: readonly EngineEntry[],
    expected: ReadonlyMap<string, number>,
  ): CataloguedModel[] {
    return models
      .map(model => ({
        model,
        queued: this.environment.countQueuedRequests(service, model.name),
      }))
      .filter(
        ({model, queued}) =>
          queued > 0 &&
          !expected.has(`${service}/${model.name}`) &&
          !isHeld(engines, model.name),
      )
      .sort((left, right) => right.queued - left.queued)
      .map(({model}) => model);
  }

  private *listWaits(
    service: EngineService,
    waiting: readonly CataloguedModel[],
    engines: readonly EngineEntry[],
    freeInMilliseconds: readonly number[],
  ): Generator<readonly [string, number]> {
    const {storeLoadsPerSecond, weightMegabytes} = service;
    const fits = ({megabytes}: CataloguedModel) => megabytes <= weightMegabytes;
    for (const model of waiting)
      if (!fits(model)) yield [entryNameOf(service, model.name), Infinity];
    // Without an engine the wait is not known.
    if (engines.length === 0) return;
    const {evictionNoticeMilliseconds} = this.settings;
    const waits = expectedWaits(waiting.filter(fits), {
      freeInMilliseconds,
      storeLoadsPerSecond,
      loadMilliseconds: model =>
        evictionNoticeMilliseconds +
        Math.min(
          ...engines.map(({listed}) => expectedLoadMilliseconds(model, listed)),
        ),
      usesStore: ({name}) =>
        !engines.some(({listed}) => hasLocalCopy(name, listed)),
    });
    for (const [{name}, wait] of waits)
      yield [entryNameOf(service, name), wait];
  }

  private publish(
    readyAt: ReadonlyMap<string, number>,
    now: number,
    epoch: number,
  ): void {
    const isSame =
      epoch === this.publishedEpoch &&
      this.published !== undefined &&
      isAboutSame(this.published, readyAt, now);
    if (isSame) return;
    this.published = readyAt;
    this.publishedEpoch = epoch;
    const readyIn = new Map<string, number>();
    for (const [entry, time] of readyAt) readyIn.set(entry, time - now);
    this.environment.publishExpectedLoads(readyIn, epoch);
  }
}

function entryNameOf({name}: EngineService, model: string): string {
  return `${name}/${model}`;
}

/** Whether an engine holds a model and is to go on holding it. */
function isHeld(engines: readonly EngineEntry[], model: string): boolean {
  return engines.some(
    ({holdings, pendingEviction}) =>
      holdings.holdsModel(model) && pendingEviction?.model !== model,
  );
}

/** Whether both name the same models, at times that differ little. */
function isAboutSame(
  published: ReadonlyMap<string, number>,
  readyAt: ReadonlyMap<string, number>,
  now: number,
): boolean {
  if (published.size !== readyAt.size) return false;
  for (const [entry, time] of readyAt) {
    const before = published.get(entry);
    if (before === undefined) return false;
    const allowed = Math.max(
      MINIMUM_CHANGE_MILLISECONDS,
      (time - now) * MINIMUM_CHANGE_SHARE,
    );
    if (before !== time && Math.abs(before - time) > allowed) return false;
  }
  return true;
}
