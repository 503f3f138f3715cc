import type {EngineReport} from '@arbutustide/upstream';

import type {OrderIntent, WorkerRecord} from '../../index.js';

import {OrderKind} from '@arbutustide/upstream';
import {expect} from 'chai';
import fc from 'fast-check';

import {
  addIntent,
  applyOrderAnswer,
  applyReport,
  committedBytes,
  createWorkerRecord,
  freeBytes,
} from '../../index.js';

const PROPERTY_RUNS = 1_000;
const SEED = 20_261_203;
const CAPACITY_BYTES = 100;
const ITEMS = ['a@1', 'b@1', 'c@1', 'd@1'];
const ITEM_BYTES: Readonly<Record<string, number>> = {
  'a@1': 40,
  'b@1': 35,
  'c@1': 30,
  'd@1': 20,
};

/** Simulates an engine that executes orders in any order and at any time. */
class DelayedOrderEngine {
  readonly resident = new Set<string>();
  readonly inFlightOrders: OrderIntent[] = [];
  peakResidentBytes = 0;

  deliver(index: number): OrderIntent | undefined {
    const [order] = this.inFlightOrders.splice(
      index % this.inFlightOrders.length,
      1,
    );
    if (!order) return undefined;
    if (order.kind === OrderKind.LOAD) this.resident.add(order.item);
    else this.resident.delete(order.item);
    const residentBytes = [...this.resident].reduce(
      (sum, item) => sum + ITEM_BYTES[item],
      0,
    );
    this.peakResidentBytes = Math.max(this.peakResidentBytes, residentBytes);
    return order;
  }

  report(): EngineReport {
    return {
      engineStart: 'start-1',
      memoryBytes: CAPACITY_BYTES,
      acceleratorCount: 1,
      resident: [...this.resident].map(item => ({
        item,
        memoryBytes: ITEM_BYTES[item],
        isDraining: false,
      })),
      inFlight: 0,
      queued: 0,
      isLeaving: false,
    };
  }
}

enum LedgerAction {
  LOAD,
  UNLOAD,
  DELIVER_WITH_ANSWER,
  DELIVER_ANSWER_LOST,
  REPORT,
}

const RULES_WITHOUT_EXPIRY = {
  checksFencing: false,
  isPastLongestDelay: () => false,
};

function sendOrderIfAllowed(
  record: WorkerRecord,
  engine: DelayedOrderEngine,
  kind: OrderKind,
  item: string,
  orderId: string,
): WorkerRecord {
  const memoryBytes = ITEM_BYTES[item];
  const isNew = !record.intents.some(intent => intent.item === item);
  const isHeld = record.items.some(held => held.item === item);
  const isLoad = kind === OrderKind.LOAD;
  if (!isNew || isHeld === isLoad) return record;
  if (isLoad && freeBytes(record) < memoryBytes) return record;
  const intent = {orderId, kind, item, memoryBytes, fence: 1};
  engine.inFlightOrders.push(intent);
  return addIntent(record, intent);
}

/**
 * Guards against committing more memory than an engine has. This happens if the
 * ledger forgets an order that is still in flight, for example after a lost
 * answer, and plans another load into the same memory.
 */
describe('memory ledger', () => {
  it('never overcommits an engine, however late its orders arrive', () => {
    const step = fc.record({
      action: fc.constantFrom(
        LedgerAction.LOAD,
        LedgerAction.UNLOAD,
        LedgerAction.DELIVER_WITH_ANSWER,
        LedgerAction.DELIVER_ANSWER_LOST,
        LedgerAction.REPORT,
      ),
      item: fc.constantFrom(...ITEMS),
      index: fc.nat(10),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
        const engine = new DelayedOrderEngine();
        let record = createWorkerRecord(
          {id: 'w', failureDomain: 'd'},
          engine.report(),
        );
        for (const [position, {action, item, index}] of steps.entries()) {
          const orderId = `order-${position}`;
          if (action === LedgerAction.LOAD) {
            record = sendOrderIfAllowed(
              record,
              engine,
              OrderKind.LOAD,
              item,
              orderId,
            );
          } else if (action === LedgerAction.UNLOAD) {
            record = sendOrderIfAllowed(
              record,
              engine,
              OrderKind.UNLOAD,
              item,
              orderId,
            );
          } else if (action === LedgerAction.REPORT) {
            record = applyReport(record, engine.report(), RULES_WITHOUT_EXPIRY);
          } else {
            const order = engine.deliver(index);
            const isAnswered = action === LedgerAction.DELIVER_WITH_ANSWER;
            if (order && isAnswered) {
              record = applyOrderAnswer(record, order.orderId, true);
            }
          }
          expect(committedBytes(record)).to.be.at.most(CAPACITY_BYTES);
        }
        while (engine.inFlightOrders.length > 0) engine.deliver(0);
        expect(engine.peakResidentBytes).to.be.at.most(CAPACITY_BYTES);
      }),
      {numRuns: PROPERTY_RUNS, seed: SEED},
    );
  });

  it('throws if an intent exceeds the memory of the engine', () => {
    const engine = new DelayedOrderEngine();
    const record = createWorkerRecord(
      {id: 'w', failureDomain: 'd'},
      engine.report(),
    );
    const intent = {
      orderId: 'o',
      kind: OrderKind.LOAD,
      item: 'x@1',
      memoryBytes: CAPACITY_BYTES + 1,
      fence: 1,
    };
    expect(() => addIntent(record, intent)).to.throw('would commit 101 of 100');
  });

  it('removes an outdated intent only if the engine checks fencing', () => {
    const engine = new DelayedOrderEngine();
    const emptyRecord = createWorkerRecord(
      {id: 'w', failureDomain: 'd'},
      engine.report(),
    );
    const staleIntent = {
      orderId: 'old',
      kind: OrderKind.LOAD,
      item: 'a@1',
      memoryBytes: 40,
      fence: 1,
    };
    const record = {
      ...addIntent(emptyRecord, staleIntent),
      acknowledgedFence: 2,
    };
    const withFencing = applyReport(record, engine.report(), {
      checksFencing: true,
      isPastLongestDelay: () => false,
    });
    const withoutFencing = applyReport(
      record,
      engine.report(),
      RULES_WITHOUT_EXPIRY,
    );
    expect(withFencing.intents).to.deep.equal([]);
    expect(withoutFencing.intents).to.deep.equal([staleIntent]);
  });
});
