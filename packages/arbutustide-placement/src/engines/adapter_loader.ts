import type {AdapterPlan} from './adapter_plan.js';
import type {AdapterKey} from './engine_client.js';
import type {EngineEntry, EngineRegistry} from './engine_registry.js';
import type {ExpectedHolding} from './expected_holding.js';
import type {EnginePlannerEnvironment} from './engine_planner_environment.js';
import type {OrderSender} from './order_sender.js';

import {OrderKind} from '@arbutustide/upstream';

import {planAdapterLoad} from './adapter_plan.js';
import {expectedHoldingAt} from './expected_holding.js';
import {PlannerStep} from './engine_planner_environment.js';

/** Timing of adapter loads and evictions. */
export interface AdapterLoaderSettings {
  /** Load time of an adapter while few others are being transferred. */
  readonly adapterLoadMilliseconds: number;
  /** Time without requests after which an adapter may be evicted. */
  readonly minimumAdapterIdleMilliseconds: number;
}

/** Delay before a request without a free adapter slot should be retried. */
const SLOT_RETRY_MILLISECONDS = 150;

/** Loads adapters on engines that hold their base models. */
export class AdapterLoader {
  /** Monotonic time of the last request for each adapter, by usage key. */
  private readonly lastRequestedAtMilliseconds = new Map<string, number>();

  constructor(
    private readonly registry: EngineRegistry,
    private readonly orderSender: OrderSender,
    private readonly environment: EnginePlannerEnvironment,
    private readonly settings: AdapterLoaderSettings,
  ) {}

  /**
   * Loads an adapter of a held model; evicts an idle adapter if no slot is
   * free.
   *
   * @param softwareVersion version that the engine must have; undefined if any
   *     will do.
   * @return the engine and the expected time until the adapter is usable. No
   *     engine is named if the order could not be placed; the caller retries.
   */
  async load(
    service: string,
    wanted: AdapterKey,
    softwareVersion?: string,
  ): Promise<ExpectedHolding | undefined> {
    this.lastRequestedAtMilliseconds.set(
      usageKey(service, wanted),
      performance.now(),
    );
    const entries = this.registry.entriesOfService(service, softwareVersion);
    const {adapterLoadMilliseconds} = this.settings;
    const holdingEntry = entries.find(
      ({holdings, listed}) =>
        listed.isReady && holdings.hasCommittedAdapter(wanted),
    );
    if (holdingEntry)
      return expectedHoldingAt(holdingEntry, adapterLoadMilliseconds);
    const plan = this.planLoad(service, wanted, entries);
    const entry = plan && this.registry.get(plan.holdings.engine.id);
    if (!plan || !entry) {
      this.environment.recordEvent({step: PlannerStep.NO_PLACE, ...wanted});
      return expectedHoldingAt(undefined, SLOT_RETRY_MILLISECONDS);
    }
    const {evicted} = plan;
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

  private planLoad(
    service: string,
    wanted: AdapterKey,
    entries: readonly EngineEntry[],
  ): AdapterPlan | undefined {
    const candidates = entries.map(({holdings, listed, pendingEviction}) => ({
      holdings,
      isReady: listed.isReady && pendingEviction?.model !== wanted.model,
      inFlight: listed.inFlight,
    }));
    return planAdapterLoad(wanted, candidates, {
      idleMilliseconds: adapterKey =>
        this.idleMilliseconds(service, adapterKey),
      minimumIdleMilliseconds: this.settings.minimumAdapterIdleMilliseconds,
    });
  }

  private idleMilliseconds(service: string, adapterKey: AdapterKey): number {
    const {model, adapter} = adapterKey;
    const key = usageKey(service, adapterKey);
    const now = performance.now();
    if (this.environment.isAdapterInUse(service, model, adapter)) {
      this.lastRequestedAtMilliseconds.set(key, now);
    }
    return now - (this.lastRequestedAtMilliseconds.get(key) ?? -Infinity);
  }
}

function usageKey(service: string, {model, adapter}: AdapterKey): string {
  return `${service}/${model}/${adapter}`;
}
