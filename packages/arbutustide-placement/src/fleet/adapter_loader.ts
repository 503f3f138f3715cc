import type {AdapterPlan} from './adapter_plan.js';
import type {AdapterName} from './engine_orders.js';
import type {EngineEntry, EngineRegistry} from './engine_registry.js';
import type {ExpectedHolding} from './expected_holding.js';
import type {FleetSurroundings} from './fleet_surroundings.js';
import type {OrderSender} from './order_sender.js';

import {OrderKind} from '@arbutustide/upstream';

import {planAdapter} from './adapter_plan.js';
import {expectedAt} from './expected_holding.js';
import {PlannerStep} from './fleet_surroundings.js';

/** Times that bound how adapters are moved. */
export interface AdapterLoaderSettings {
  /** Time an adapter takes to load where nothing hinders it. */
  readonly adapterLoadMilliseconds: number;
  /** Least idle time of an adapter that makes place for another. */
  readonly adapterIdleMilliseconds: number;
}

/** Time until a place for an adapter is looked for again, in milliseconds. */
const PLACE_RETRY_MILLISECONDS = 150;

/** Has adapters loaded on engines that hold their models. */
export class AdapterLoader {
  private readonly askedAt = new Map<string, number>();

  constructor(
    private readonly registry: EngineRegistry,
    private readonly sender: OrderSender,
    private readonly surroundings: FleetSurroundings,
    private readonly settings: AdapterLoaderSettings,
  ) {}

  /** Loads an adapter of a held model, in place of an idle one if need be. */
  async load(
    service: string,
    wanted: AdapterName,
  ): Promise<ExpectedHolding | undefined> {
    this.askedAt.set(useKey(service, wanted), performance.now());
    const entries = this.registry.ofService(service);
    const {adapterLoadMilliseconds} = this.settings;
    const holder = entries.find(
      ({book, listed}) => listed.isReady && book.hasAdapter(wanted),
    );
    if (holder) return expectedAt(holder, adapterLoadMilliseconds);
    const plan = this.plan(service, wanted, entries);
    const entry = plan && this.registry.get(plan.book.engine.id);
    if (!plan || !entry) {
      this.surroundings.record({step: PlannerStep.NO_PLACE, ...wanted});
      return expectedAt(undefined, PLACE_RETRY_MILLISECONDS);
    }
    const {evicted} = plan;
    if (evicted) {
      await this.sender.send(
        entry,
        OrderKind.UNLOAD,
        evicted.model,
        evicted.adapter,
      );
      await this.registry.refresh(entry);
    }
    await this.sender.send(entry, OrderKind.LOAD, wanted.model, wanted.adapter);
    return entry.book.hasAdapter(wanted)
      ? expectedAt(entry, adapterLoadMilliseconds)
      : expectedAt(undefined, PLACE_RETRY_MILLISECONDS);
  }

  private plan(
    service: string,
    wanted: AdapterName,
    entries: readonly EngineEntry[],
  ): AdapterPlan | undefined {
    const candidates = entries.map(({book, listed, closing}) => ({
      book,
      isReady: listed.isReady && closing?.model !== wanted.model,
      inFlight: listed.inFlight,
    }));
    return planAdapter(wanted, candidates, {
      idleMilliseconds: name => this.idleMilliseconds(service, name),
      evictableAfterMilliseconds: this.settings.adapterIdleMilliseconds,
    });
  }

  private idleMilliseconds(service: string, name: AdapterName): number {
    const {model, adapter} = name;
    const key = useKey(service, name);
    const now = performance.now();
    if (this.surroundings.isAdapterInUse(service, model, adapter)) {
      this.askedAt.set(key, now);
    }
    return now - (this.askedAt.get(key) ?? -Infinity);
  }
}

function useKey(service: string, {model, adapter}: AdapterName): string {
  return `${service}/${model}/${adapter}`;
}
