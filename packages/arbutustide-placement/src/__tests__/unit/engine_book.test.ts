import type {EngineState, HoldingOrder} from '../../fleet/engine_orders.js';
import type {EngineRoom} from '../../fleet/engine_book.js';

import {OrderKind} from '@arbutustide/upstream';
import {expect} from 'chai';
import fc from 'fast-check';

import {EngineBook} from '../../fleet/engine_book.js';
import {HoldingOrderAnswer} from '../../fleet/engine_orders.js';

const MODEL_MEGABYTES = 70;
const ADAPTER_MEGABYTES = 5;
const ROOM: EngineRoom = {
  weightMegabytes: 220,
  adapterPlaces: 2,
  modelMegabytes: model => (model === 'unknown' ? undefined : MODEL_MEGABYTES),
  adapterMegabytes: () => ADAPTER_MEGABYTES,
};
const ENGINE = {id: 'engine', address: '10.0.0.1:80'};

/** An engine as the platform describes it, without its requests. */
class ModelledEngine {
  sequence = 0;
  highestFence = 0;
  readonly models = new Map<string, Set<string>>();
  private current: HoldingOrder | undefined;

  order(order: HoldingOrder): HoldingOrderAnswer {
    if (order.fence < this.highestFence) return HoldingOrderAnswer.FENCED;
    this.highestFence = order.fence;
    if (order.expectedSequence !== this.sequence) {
      return HoldingOrderAnswer.CONFLICT;
    }
    if (order.adapter === undefined && this.current) {
      return HoldingOrderAnswer.CONFLICT;
    }
    this.sequence += 1;
    if (order.adapter === undefined) this.current = order;
    else this.apply(order);
    return HoldingOrderAnswer.ACCEPTED;
  }

  /** Loses all it holds and knows, also its sequence and fences. */
  restart(): void {
    this.sequence = 0;
    this.highestFence = 0;
    this.models.clear();
    this.current = undefined;
  }

  /** Ends the order that is being carried out. */
  finish(): void {
    if (this.current) this.apply(this.current);
    this.current = undefined;
  }

  /** Weights held and being loaded. */
  get committedMegabytes(): number {
    let sum = this.current?.kind === OrderKind.LOAD ? MODEL_MEGABYTES : 0;
    for (const adapters of this.models.values()) {
      sum += MODEL_MEGABYTES + adapters.size * ADAPTER_MEGABYTES;
    }
    return sum;
  }

  get adapterCount(): number {
    return [...this.models.values()].reduce((sum, {size}) => sum + size, 0);
  }

  report(): EngineState {
    return {
      sequence: this.sequence,
      models: [...this.models].map(([name, adapters]) => ({
        name,
        adapters: [...adapters],
      })),
      comingAdapters: [],
      isBusy: this.current !== undefined,
      running: 0,
      waiting: 0,
    };
  }

  private apply({kind, model, adapter}: HoldingOrder): void {
    if (adapter === undefined) {
      if (kind === OrderKind.LOAD) this.models.set(model, new Set());
      else this.models.delete(model);
      return;
    }
    if (kind === OrderKind.LOAD) this.models.get(model)?.add(adapter);
    else this.models.get(model)?.delete(adapter);
  }
}

/** Steps of a random play with two holders, one after the other. */
enum Step {
  REPORT = 'report',
  LAGGING_REPORT = 'lagging_report',
  FINISH = 'finish',
  LOAD = 'load',
  UNLOAD = 'unload',
  LOAD_ADAPTER = 'load_adapter',
  LOST_LOAD = 'lost_load',
  DELIVER_LATE = 'deliver_late',
  CHANGE_HOLDER = 'change_holder',
  /** The engine starts again under the id that it had. */
  REBIRTH = 'rebirth',
}

interface Play {
  readonly engine: ModelledEngine;
  book: EngineBook;
  fence: number;
  lagging: EngineState;
  readonly late: HoldingOrder[];
}

function give(play: Play, kind: OrderKind, model: string, adapter?: string) {
  const order = play.book.nextOrder(kind, model, adapter, {
    holder: 'node',
    fence: play.fence,
  });
  return order;
}

const STEPS: Readonly<Record<Step, (play: Play, model: string) => void>> = {
  [Step.REPORT]: play => play.book.takeReport(play.engine.report()),
  [Step.LAGGING_REPORT]: play => {
    play.book.takeReport(play.lagging);
    play.lagging = play.engine.report();
  },
  [Step.FINISH]: play => play.engine.finish(),
  [Step.LOAD]: (play, model) => {
    if (play.book.whyNotLoad(model) !== undefined) return;
    const order = give(play, OrderKind.LOAD, model);
    play.book.takeAnswer(order, play.engine.order(order));
  },
  [Step.UNLOAD]: (play, model) => {
    if (!play.book.isKnown || play.book.isBusy) return;
    if (!play.book.holdsModel(model)) return;
    const order = give(play, OrderKind.UNLOAD, model);
    play.book.takeAnswer(order, play.engine.order(order));
  },
  [Step.LOAD_ADAPTER]: (play, model) => {
    const name = {model, adapter: `a${play.engine.sequence % 4}`};
    if (play.book.whyNotLoadAdapter(name) !== undefined) return;
    const order = give(play, OrderKind.LOAD, model, name.adapter);
    play.book.takeAnswer(order, play.engine.order(order));
  },
  [Step.LOST_LOAD]: (play, model) => {
    if (play.book.whyNotLoad(model) !== undefined) return;
    const order = give(play, OrderKind.LOAD, model);
    play.late.push(order);
    play.book.takeAnswer(order, undefined);
  },
  [Step.DELIVER_LATE]: play => {
    const order = play.late.shift();
    if (order) play.engine.order(order);
  },
  [Step.REBIRTH]: play => {
    play.engine.restart();
    play.book = play.book.successor(ENGINE);
    play.lagging = play.engine.report();
  },
  [Step.CHANGE_HOLDER]: play => {
    // Another holder does not know of orders that are still on their way to an
    // engine that started again; fences and time keep them from it.
    if (play.late.length > 0) return;
    play.fence += 1;
    play.book = new EngineBook(ENGINE, () => ROOM);
  },
};

/** Plays the steps, and checks the engine's room after each. */
function playSteps(
  steps: ReadonlyArray<{readonly step: Step; readonly model: string}>,
): void {
  const engine = new ModelledEngine();
  const play: Play = {
    engine,
    book: new EngineBook(ENGINE, () => ROOM),
    fence: 1,
    lagging: engine.report(),
    late: [],
  };
  for (const {step: name, model} of steps) {
    STEPS[name](play, model);
    expect(engine.committedMegabytes).to.be.at.most(ROOM.weightMegabytes);
    expect(engine.adapterCount).to.be.at.most(ROOM.adapterPlaces);
  }
}

describe('order book of an engine', () => {
  const model = fc.constantFrom('one', 'two', 'three', 'four', 'five');
  const anyStep = fc.record({
    step: fc.constantFrom(...Object.values(Step)),
    model,
  });
  /** Fills the engine, which any steps alone seldom do. */
  const fillingStep = fc.record({
    step: fc.constantFrom(
      Step.LOAD,
      Step.LOAD_ADAPTER,
      Step.FINISH,
      Step.REPORT,
    ),
    model,
  });
  const plays = {
    'whatever is late or lost': fc.array(anyStep, {maxLength: 60, size: 'max'}),
    'though it is nearly full': fc.array(
      fc.oneof({weight: 9, arbitrary: fillingStep}, anyStep),
      {maxLength: 120, size: 'max'},
    ),
  };

  for (const [circumstance, play] of Object.entries(plays)) {
    it(`never overfills an engine, ${circumstance}`, () => {
      fc.assert(fc.property(play, playSteps), {
        numRuns: 2_000,
        seed: 20261204,
      });
    });
  }

  it('leaves room for a late order to an engine that started again', () => {
    const engine = new ModelledEngine();
    const play: Play = {
      engine,
      book: new EngineBook(ENGINE, () => ROOM),
      fence: 1,
      lagging: engine.report(),
      late: [],
    };
    const run = (step: Step, model = 'one') => {
      STEPS[step](play, model);
      STEPS[Step.FINISH](play, model);
      STEPS[Step.REPORT](play, model);
    };
    run(Step.REPORT);
    run(Step.LOAD, 'one');
    run(Step.LOAD, 'two');
    run(Step.UNLOAD, 'two');
    run(Step.LOST_LOAD, 'five');
    run(Step.REBIRTH);
    for (const model of ['one', 'two', 'three']) run(Step.LOAD, model);
    run(Step.DELIVER_LATE);
    expect(engine.committedMegabytes).to.be.at.most(ROOM.weightMegabytes);
  });

  function known(models: readonly string[]): EngineBook {
    const book = new EngineBook(ENGINE, () => ROOM);
    book.takeReport({
      sequence: 3,
      models: models.map(name => ({name, adapters: []})),
      comingAdapters: [],
      isBusy: false,
      running: 0,
      waiting: 0,
    });
    return book;
  }

  it('gives no order before a report', () => {
    const book = new EngineBook(ENGINE, () => ROOM);
    expect(book.whyNotLoad('one')).to.be.a('string');
  });

  it('refuses what is not in the catalogue or does not fit', () => {
    expect(known([]).whyNotLoad('unknown')).to.be.a('string');
    expect(known(['one', 'two', 'three']).whyNotLoad('four')).to.be.a('string');
    expect(known(['one', 'two']).whyNotLoad('three')).to.equal(undefined);
  });

  it('goes on from a plain acceptance, and else waits for a report', () => {
    const book = known(['one']);
    const order = book.nextOrder(OrderKind.LOAD, 'one', 'a1', {
      holder: 'node',
      fence: 1,
    });
    book.takeAnswer(order, HoldingOrderAnswer.ACCEPTED);
    expect(book.isKnown).to.equal(true);
    const next = book.nextOrder(OrderKind.LOAD, 'one', 'a2', {
      holder: 'node',
      fence: 1,
    });
    expect(next.expectedSequence).to.equal(4);
    book.takeAnswer(next, undefined);
    expect(book.isKnown).to.equal(false);
  });

  it('passes over a report made before the last order', () => {
    const book = known(['one']);
    const order = book.nextOrder(OrderKind.LOAD, 'two', undefined, {
      holder: 'node',
      fence: 1,
    });
    book.takeAnswer(order, HoldingOrderAnswer.ACCEPTED);
    book.takeReport({
      sequence: 3,
      models: [],
      comingAdapters: [],
      isBusy: false,
      running: 0,
      waiting: 0,
    });
    expect(book.isBusy).to.equal(true);
    expect(book.holdsModel('one')).to.equal(true);
  });
});
