import type {EngineEntry} from './engine_registry.js';

import {expectedReplacement} from './pending_eviction.js';
import {orderedModel} from './pending_model_order.js';

/** Why a model with requests is held by no engine. */
export enum UnloadedReason {
  /** An engine is loading it. */
  LOADING = 'loading',
  /** An engine is about to unload another model for it. */
  EVICTING = 'evicting',
  /** The weight store allows no further load now. */
  STORE_LIMIT = 'store_limit',
  /** No engine has answered its first report yet. */
  NO_REPORT = 'no_report',
  /** The engines that are not busy have an order whose outcome is unknown. */
  ORDER_UNANSWERED = 'order_unanswered',
  /** The engines that are not busy have only old reports. */
  REPORT_OUTDATED = 'report_outdated',
  /** All engines execute orders. */
  ENGINES_BUSY = 'engines_busy',
  /** No engine can take it at a cost below its gain. */
  NO_PLACE = 'no_place',
}

/** A model with requests that no engine holds. */
export interface UnloadedModel {
  readonly service: string;
  readonly model: string;
  readonly reason: UnloadedReason;
}

/** A model that waits for an engine to hold it; times in milliseconds. */
export interface WaitingModel extends UnloadedModel {
  /** Since its requests first found no engine. */
  readonly waitedMilliseconds: number;
  /** Since it last had a request. */
  readonly idleMilliseconds: number;
}

/** A model whose wait has ended. */
export interface LoadedModel {
  readonly service: string;
  readonly model: string;
  readonly waitedMilliseconds: number;
}

/**
 * Why no engine holds a model, by model, for those that an engine loads or is
 * about to load.
 */
export function findLoadingReasons(
  entries: Iterable<EngineEntry>,
): Map<string, UnloadedReason> {
  const reasons = new Map<string, UnloadedReason>();
  for (const {holdings, pendingEviction, pendingModelOrder} of entries) {
    const loading = holdings.loadingModel ?? orderedModel(pendingModelOrder);
    if (loading !== undefined) reasons.set(loading, UnloadedReason.LOADING);
    const replacement = expectedReplacement(pendingEviction);
    if (replacement !== undefined && !reasons.has(replacement))
      reasons.set(replacement, UnloadedReason.EVICTING);
  }
  return reasons;
}

/**
 * Why no engine takes any other model.
 *
 * @param canAcceptOrder whether an engine can accept an order now.
 */
export function findBlockedReason(
  entries: readonly EngineEntry[],
  canAcceptOrder: (entry: EngineEntry) => boolean,
): UnloadedReason {
  if (entries.some(canAcceptOrder)) return UnloadedReason.NO_PLACE;
  const idle = entries.filter(
    ({holdings, pendingEviction, pendingModelOrder}) =>
      !holdings.isBusy && !pendingEviction && !pendingModelOrder,
  );
  if (idle.length === 0) return UnloadedReason.ENGINES_BUSY;
  return idle.some(({holdings}) => holdings.isOrderOutcomeUnknown)
    ? UnloadedReason.ORDER_UNANSWERED
    : UnloadedReason.REPORT_OUTDATED;
}

interface WaitState {
  readonly unloaded: UnloadedModel;
  readonly sinceMilliseconds: number;
  readonly lastWantedMilliseconds: number;
}

/** A model without requests for so long no longer waits. */
const FORGET_MILLISECONDS = 30_000;

/** Remembers how long models with requests have been on no engine. */
export class UnloadedModels {
  private readonly states = new Map<string, WaitState>();
  private updatedAtMilliseconds = -Infinity;

  /**
   * Records what a pass has found.
   *
   * @param isHeld whether some engine holds the model.
   * @return the models whose wait has ended.
   */
  *update(
    unloaded: Iterable<UnloadedModel>,
    isHeld: (service: string, model: string) => boolean,
  ): Generator<LoadedModel> {
    const now = performance.now();
    this.updatedAtMilliseconds = now;
    for (const model of unloaded) {
      const key = `${model.service}/${model.model}`;
      const sinceMilliseconds = this.states.get(key)?.sinceMilliseconds ?? now;
      this.states.set(key, {
        unloaded: model,
        sinceMilliseconds,
        lastWantedMilliseconds: now,
      });
    }
    for (const [key, state] of this.states) {
      const {unloaded: waiting, sinceMilliseconds} = state;
      const idle = now - state.lastWantedMilliseconds;
      if (idle === 0) continue;
      const {service, model} = waiting;
      const isLoaded = isHeld(service, model);
      if (!isLoaded && idle < FORGET_MILLISECONDS) continue;
      this.states.delete(key);
      if (!isLoaded) continue;
      yield {service, model, waitedMilliseconds: now - sinceMilliseconds};
    }
  }

  /**
   * Time for which requests for a model have found no engine that holds it; zero
   * if there was none in the latest pass.
   */
  waitedMilliseconds(service: string, model: string): number {
    const state = this.states.get(`${service}/${model}`);
    return state?.lastWantedMilliseconds === this.updatedAtMilliseconds
      ? performance.now() - state.sinceMilliseconds
      : 0;
  }

  /** Number of models that wait, by reason. */
  get countByReason(): Partial<Record<UnloadedReason, number>> {
    const counts: Partial<Record<UnloadedReason, number>> = {};
    for (const {unloaded} of this.states.values())
      counts[unloaded.reason] = (counts[unloaded.reason] ?? 0) + 1;
    return counts;
  }

  /** The models that have waited longest. */
  longestWaiting(maximum: number): WaitingModel[] {
    const now = performance.now();
    return [...this.states.values()]
      .sort((one, other) => one.sinceMilliseconds - other.sinceMilliseconds)
      .slice(0, maximum)
      .map(({unloaded, sinceMilliseconds, lastWantedMilliseconds}) => ({
        ...unloaded,
        waitedMilliseconds: Math.round(now - sinceMilliseconds),
        idleMilliseconds: Math.round(now - lastWantedMilliseconds),
      }));
  }

  clear(): void {
    this.states.clear();
  }
}
