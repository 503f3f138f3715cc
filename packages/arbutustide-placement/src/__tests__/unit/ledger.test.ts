import type {EngineReport} from '@arbutustide/upstream';

import type {OrderIntent, WorkerRecord} from '../../index.js';

import {OrderKind} from '@arbutustide/upstream';
import {expect} from 'chai';
import fc from 'fast-check';

import {
  committedBytes,
  freeBytes,
  newWorkerRecord,
  withAnswer,
  withIntent,
  withReport,
} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;
const CAPACITY_BYTES = 100;
const ITEMS = ['a@1', 'b@1', 'c@1', 'd@1'];
const BYTES: Readonly<Record<string, number>> = {
  'a@1': 40,
  'b@1': 35,
  'c@1': 30,
  'd@1': 20,
};

/** An engine that carries out orders at any time after they were sent. */
class ModelEngine {
  readonly resident = new Set<string>();
  readonly onTheWay: OrderIntent[] = [];
  highest = 0;

  deliver(index: number): OrderIntent | undefined {
    const [order] = this.onTheWay.splice(index % this.onTheWay.length, 1);
    if (!order) return undefined;
    if (order.kind === OrderKind.LOAD) this.resident.add(order.item);
    else this.resident.delete(order.item);
    const held = [...this.resident].reduce((sum, item) => sum + BYTES[item], 0);
    this.highest = Math.max(this.highest, held);
    return order;
  }

  report(): EngineReport {
    return {
      engineStart: 'start-1',
      memoryBytes: CAPACITY_BYTES,
      acceleratorCount: 1,
      resident: [...this.resident].map(item => ({
        item,
        memoryBytes: BYTES[item],
        isDraining: false,
      })),
      inFlight: 0,
      queued: 0,
      isLeaving: false,
    };
  }
}

enum Act {
  LOAD,
  UNLOAD,
  DELIVER_WITH_ANSWER,
  DELIVER_ANSWER_LOST,
  REPORT,
}

const NEVER_PAST_DELAY = {checksFencing: false, isPastDelay: () => false};

function orderOnce(
  record: WorkerRecord,
  engine: ModelEngine,
  kind: OrderKind,
  item: string,
  orderId: string,
): WorkerRecord {
  const memoryBytes = BYTES[item];
  const isNew = !record.intents.some(intent => intent.item === item);
  const isHeld = record.items.some(held => held.item === item);
  const isLoad = kind === OrderKind.LOAD;
  if (!isNew || isHeld === isLoad) return record;
  if (isLoad && freeBytes(record) < memoryBytes) return record;
  const intent = {orderId, kind, item, memoryBytes, fence: 1};
  engine.onTheWay.push(intent);
  return withIntent(record, intent);
}

describe('ledger', () => {
  it('never lets orders, however late, over-commit the engine', () => {
    const step = fc.record({
      act: fc.constantFrom(
        Act.LOAD,
        Act.UNLOAD,
        Act.DELIVER_WITH_ANSWER,
        Act.DELIVER_ANSWER_LOST,
        Act.REPORT,
      ),
      item: fc.constantFrom(...ITEMS),
      index: fc.nat(10),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
        const engine = new ModelEngine();
        let record = newWorkerRecord(
          {id: 'w', failureDomain: 'd'},
          engine.report(),
        );
        for (const [position, {act, item, index}] of steps.entries()) {
          const orderId = `order-${position}`;
          if (act === Act.LOAD) {
            record = orderOnce(record, engine, OrderKind.LOAD, item, orderId);
          } else if (act === Act.UNLOAD) {
            record = orderOnce(record, engine, OrderKind.UNLOAD, item, orderId);
          } else if (act === Act.REPORT) {
            record = withReport(record, engine.report(), NEVER_PAST_DELAY);
          } else {
            const order = engine.deliver(index);
            const isAnswered = act === Act.DELIVER_WITH_ANSWER;
            if (order && isAnswered) {
              record = withAnswer(record, order.orderId, true);
            }
          }
          expect(committedBytes(record)).to.be.at.most(CAPACITY_BYTES);
        }
        while (engine.onTheWay.length > 0) engine.deliver(0);
        expect(engine.highest).to.be.at.most(CAPACITY_BYTES);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('refuses an intent beyond capacity as a broken invariant', () => {
    const engine = new ModelEngine();
    const record = newWorkerRecord(
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
    expect(() => withIntent(record, intent)).to.throw(
      'would commit 101 of 100',
    );
  });

  it('drops a fenced order only where the engine checks fencing', () => {
    const engine = new ModelEngine();
    const first = newWorkerRecord(
      {id: 'w', failureDomain: 'd'},
      engine.report(),
    );
    const old = {
      orderId: 'old',
      kind: OrderKind.LOAD,
      item: 'a@1',
      memoryBytes: 40,
      fence: 1,
    };
    const record = {...withIntent(first, old), acknowledgedFence: 2};
    const checked = withReport(record, engine.report(), {
      checksFencing: true,
      isPastDelay: () => false,
    });
    const ignored = withReport(record, engine.report(), NEVER_PAST_DELAY);
    expect(checked.intents).to.deep.equal([]);
    expect(ignored.intents).to.deep.equal([old]);
  });
});
