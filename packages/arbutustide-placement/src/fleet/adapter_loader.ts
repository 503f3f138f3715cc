import type {AdapterPlan} from './adapter_plan.js';
import type {AdapterName} from './engine_orders.js';
import type {EngineEntry, EngineRegistry} from './engine_registry.js';
import type {ExpectedHolding} from './expected_holding.js';
import type {FleetSurroundings} from './fleet_surroundings.js';
import type {OrderSender} from './order_sender.js';

import {OrderKind} from '@arbutustide/upstream';

import {planAdapter} from './adapter_plan.js';
import {expectedHoldingAt} from './expected_holding.js';
import {PlannerStep} from './fleet_surroundings.js';

/** Times that bound how adapters are moved. */
export interface AdapterLoaderSettings {
  /** Time an adapter takes to load where nothing hinders it. */
  readonly adapterLoadMilliseconds: number;
  /** Least idle time of an adapter that makes place for another. */
  readonly adapterIdleMilliseconds: number;
}

/** Time until a place for an adapter is looked for again, in milliseconds. */
const SLOT_RETRY_MILLISECONDS = 150;

/** Has adapters loaded on engines that hold their models. */
export class AdapterLoader {
  private readonly lastRequestedAtMilliseconds = new Map<string, number>();

  constructor(
    private readonly registry: EngineRegistry,
    private readonly orderSender: OrderSender,
    private readonly environment: FleetSurroundings,
    private readonly settings: AdapterLoaderSettings,
  ) {}

  /** Loads an adapter of a held model, in place of an idle one if need be. */
  async load(
    service: string,
    wanted: AdapterName,
  ): Promise<ExpectedHolding | undefined> {
    this.lastRequestedAtMilliseconds.set(
      usageKey(service, wanted),
      performance.now(),
    );
    const entries = this.registry.entriesOfService(service);
    const {adapterLoadMilliseconds} = this.settings;
    const holdingEntry = entries.find(
      ({holdings, listed}) =>
        listed.isReady && holdings.hasCommittedAdapter(wanted),
    );
    if (holdingEntry)
      return expectedHoldingAt(holdingEntry, adapterLoadMilliseconds);
    const planLoad = this.plan(service, wanted, entries);
    const entry = planLoad && this.registry.get(planLoad.holdings.engine.id);
    if (!planLoad || !entry) {
      this.environment.record({step: PlannerStep.NO_PLACE, ...wanted});
      return expectedHoldingAt(undefined, SLOT_RETRY_MILLISECONDS);
    }
    const {evicted} = planLoad;
    if (evicted) {
      await this.orderSender.send(
        entry,
        OrderKind.UNLOAD,
        evicted.model,
        evicted.adapter,
      );
      await this.registry.refreshReport(entry);
    }
    await this.orderSender.send(
      entry,
      OrderKind.LOAD,
      wanted.model,
      wanted.adapter,
    );
    return entry.holdings.hasCommittedAdapter(wanted)
      ? expectedHoldingAt(entry, adapterLoadMilliseconds)
      : expectedHoldingAt(undefined, SLOT_RETRY_MILLISECONDS);
  }

  private plan(
    service: string,
    wanted: AdapterName,
    entries: readonly EngineEntry[],
  ): AdapterPlan | undefined {
    const candidates = entries.map(({holdings, listed, pendingEviction}) => ({
      holdings,
      isReady: listed.isReady && pendingEviction?.model !== wanted.model,
      inFlight: listed.inFlight,
    }));
    return planAdapter(wanted, candidates, {
      idleMilliseconds: name => this.idleMilliseconds(service, name),
      minimumIdleMilliseconds: this.settings.adapterIdleMilliseconds,
    });
  }

  private idleMilliseconds(service: string, name: AdapterName): number {
    const {model, adapter} = name;
    const key = usageKey(service, name);
    const now = performance.now();
    if (this.environment.isAdapterInUse(service, model, adapter)) {
      this.lastRequestedAtMilliseconds.set(key, now);
    }
    return now - (this.lastRequestedAtMilliseconds.get(key) ?? -Infinity);
  }
}

function usageKey(service: string, {model, adapter}: AdapterName): string {
  return `${service}/${model}/${adapter}`;
}
