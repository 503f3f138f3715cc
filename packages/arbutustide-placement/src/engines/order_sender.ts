import type {PlannerLease} from '../planner_lease.js';
import type {EngineEntry} from './engine_registry.js';
import type {EngineClient, HoldingOrder} from './engine_client.js';
import type {PlannerEvent} from './engine_planner_environment.js';

import {OrderKind} from '@arbutustide/upstream';

import {HoldingOrderAnswer} from './engine_client.js';
import {PlannerStep} from './engine_planner_environment.js';

/** Identity, permission check and event log of an order sender. */
export interface OrderSenderOptions {
  /** Name of this node, sent with its orders. */
  readonly holder: string;
  /** Checked immediately before each order is sent. */
  readonly canSendOrders: () => boolean;
  readonly recordEvent: (event: PlannerEvent) => void;
}

/** Sends orders to engines while this node may act as the planner. */
export class OrderSender {
  constructor(
    private readonly lease: PlannerLease,
    private readonly engineClient: EngineClient,
    private readonly options: OrderSenderOptions,
  ) {}

  /**
   * Queues an order behind the earlier orders to the same engine and sends it.
   * The order is dropped if this node is no longer the planner, if the holdings
   * are outdated, or if the load no longer fits.
   *
   * @param gain gain computed by the model plan, for the log.
   */
  send(
    entry: EngineEntry,
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    gain?: number,
  ): Promise<void> {
    const pending = adapter === undefined ? {kind, model} : undefined;
    if (pending) entry.pendingModelOrder = pending;
    const sent = entry.orderQueue
      .then(() => this.sendNow(entry, kind, model, adapter, gain))
      .finally(() => {
        if (pending && entry.pendingModelOrder === pending)
          entry.pendingModelOrder = undefined;
      });
    entry.orderQueue = sent;
    return sent;
  }

  private async sendNow(
    {holdings, listed}: EngineEntry,
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    gain: number | undefined,
  ): Promise<void> {
    if (!this.options.canSendOrders() || !holdings.isUpToDate) return;
    if (!listed.acceptsCalls) return;
    if (kind === OrderKind.LOAD && findLoadBlocker(holdings, model, adapter))
      return;
    const order: HoldingOrder = holdings.createOrder(kind, model, adapter, {
      holder: this.options.holder,
      fence: this.lease.epoch,
    });
    const answer = await this.engineClient.sendOrder(listed, order);
    holdings.applyAnswer(order, answer.ok ? answer.val : undefined);
    this.options.recordEvent({
      step: PlannerStep.ORDERED,
      upstream: listed.id,
      order,
      answer: answer.ok ? answer.val : 'none',
      reportAgeMilliseconds: Math.round(holdings.reportAgeMilliseconds),
      ...(!answer.ok && {reason: answer.val.message}),
      ...(gain !== undefined && {gain}),
    });
    if (answer.ok && answer.val === HoldingOrderAnswer.FENCED) {
      this.lease.invalidateUntilRenewed();
    }
  }
}

function findLoadBlocker(
  holdings: EngineEntry['holdings'],
  model: string,
  adapter: string | undefined,
): string | undefined {
  return adapter === undefined
    ? holdings.findModelLoadBlocker(model)
    : holdings.findAdapterLoadBlocker({model, adapter});
}
