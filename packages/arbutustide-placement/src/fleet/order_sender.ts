import type {PlannerLease} from '../planner_lease.js';
import type {EngineEntry} from './engine_registry.js';
import type {EngineOrders, HoldingOrder} from './engine_orders.js';
import type {PlannerDecision} from './fleet_surroundings.js';

import {OrderKind} from '@arbutustide/upstream';

import {HoldingOrderAnswer} from './engine_orders.js';
import {PlannerStep} from './fleet_surroundings.js';

/** What sending orders depends on. */
export interface OrderSenderOptions {
  /** Name of this node in its orders. */
  readonly holder: string;
  /** Asked right before each order. */
  readonly mayOrder: () => boolean;
  readonly record: (decision: PlannerDecision) => void;
}

/** Sends orders to engines, each only while this node holds the lease. */
export class OrderSender {
  constructor(
    private readonly lease: PlannerLease,
    private readonly orders: EngineOrders,
    private readonly options: OrderSenderOptions,
  ) {}

  /** Sends one order, after those sent to the engine before. */
  send(
    entry: EngineEntry,
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    gain?: number,
  ): Promise<void> {
    const turn = entry.turn.then(() =>
      this.sendNow(entry, kind, model, adapter, gain),
    );
    entry.turn = turn;
    return turn;
  }

  private async sendNow(
    {book, listed}: EngineEntry,
    kind: OrderKind,
    model: string,
    adapter: string | undefined,
    gain: number | undefined,
  ): Promise<void> {
    if (!this.options.mayOrder() || !book.isKnown) return;
    if (kind === OrderKind.LOAD && whyNot(book, model, adapter)) return;
    const order: HoldingOrder = book.nextOrder(kind, model, adapter, {
      holder: this.options.holder,
      fence: this.lease.epoch,
    });
    const answer = await this.orders.order(listed, order);
    book.takeAnswer(order, answer.ok ? answer.val : undefined);
    this.options.record({
      step: PlannerStep.ORDERED,
      upstream: listed.id,
      order,
      answer: answer.ok ? answer.val : 'none',
      reportAgeMilliseconds: Math.round(book.reportAgeMilliseconds),
      ...(!answer.ok && {reason: answer.val.message}),
      ...(gain !== undefined && {gain}),
    });
    if (answer.ok && answer.val === HoldingOrderAnswer.FENCED) {
      this.lease.distrust();
    }
  }
}

function whyNot(
  book: EngineEntry['book'],
  model: string,
  adapter: string | undefined,
): string | undefined {
  return adapter === undefined
    ? book.whyNotLoad(model)
    : book.whyNotLoadAdapter({model, adapter});
}
