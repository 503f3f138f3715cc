/**
 * Guards against orders that exceed an engine's memory or adapter slots. That
 * can happen when reports lag, answers are lost, orders arrive late, the engine
 * restarts under its id or the lease changes hands.
 */

import type {EngineReport, HoldingOrder} from '../../engines/engine_client.js';
import type {EngineCapacity} from '../../engines/engine_holdings_tracker.js';

import {OrderKind} from '@arbutustide/upstream';
import {expect} from 'chai';
import fc from 'fast-check';

import {EngineHoldingsTracker} from '../../engines/engine_holdings_tracker.js';
import {HoldingOrderAnswer} from '../../engines/engine_client.js';

const MODEL_MEGABYTES = 70;
const ADAPTER_MEGABYTES = 5;
const CAPACITY: EngineCapacity = {
  weightMegabytes: 220,
  adapterSlots: 2,
  modelMegabytes: model => (model === 'unknown' ? undefined : MODEL_MEGABYTES),
  adapterMegabytes: () => ADAPTER_MEGABYTES,
};
const ENGINE = {id: 'engine', address: '10.0.0.1:80'};

/** Model of an engine that executes orders but serves no requests. */
class SimulatedEngine {
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

  /** Loses all holdings, the sequence and the highest fencing token. */
  restart(): void {
    this.sequence = 0;
    this.highestFence = 0;
    this.models.clear();
    this.current = undefined;
  }

  /** Completes the model order that is being executed. */
  finish(): void {
    if (this.current) this.apply(this.current);
    this.current = undefined;
  }

  /** Size of the weights that are held or being loaded. */
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

  report(): EngineReport {
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

/** Steps of a random simulation with successive lease holders. */
enum Step {
  REPORT = 'report',
  LAGGING_REPORT = 'lagging_report',
  FINISH = 'finish',
  LOAD = 'load',
  UNLOAD = 'unload',
  LOAD_ADAPTER = 'load_adapter',
  UNANSWERED_LOAD = 'lost_load',
  DELIVER_LATE = 'deliver_late',
  CHANGE_HOLDER = 'change_holder',
  /** The engine restarts and keeps its id. */
  RESTART = 'rebirth',
}

interface Simulation {
  readonly engine: SimulatedEngine;
  holdings: EngineHoldingsTracker;
  fence: number;
  laggingReport: EngineReport;
  readonly lateOrders: HoldingOrder[];
}

function createOrder(
  simulation: Simulation,
  kind: OrderKind,
  model: string,
  adapter?: string,
) {
  const order = simulation.holdings.createOrder(kind, model, adapter, {
    holder: 'node',
    fence: simulation.fence,
  });
  return order;
}

const STEPS: Readonly<
  Record<Step, (simulation: Simulation, model: string) => void>
> = {
  [Step.REPORT]: simulation =>
    simulation.holdings.applyReport(simulation.engine.report()),
  [Step.LAGGING_REPORT]: simulation => {
    simulation.holdings.applyReport(simulation.laggingReport);
    simulation.laggingReport = simulation.engine.report();
  },
  [Step.FINISH]: simulation => simulation.engine.finish(),
  [Step.LOAD]: (simulation, model) => {
    if (simulation.holdings.findModelLoadBlocker(model) !== undefined) return;
    const order = createOrder(simulation, OrderKind.LOAD, model);
    simulation.holdings.applyAnswer(order, simulation.engine.order(order));
  },
  [Step.UNLOAD]: (simulation, model) => {
    if (!simulation.holdings.isUpToDate || simulation.holdings.isBusy) return;
    if (!simulation.holdings.holdsModel(model)) return;
    const order = createOrder(simulation, OrderKind.UNLOAD, model);
    simulation.holdings.applyAnswer(order, simulation.engine.order(order));
  },
  [Step.LOAD_ADAPTER]: (simulation, model) => {
    const name = {model, adapter: `a${simulation.engine.sequence % 4}`};
    if (simulation.holdings.findAdapterLoadBlocker(name) !== undefined) return;
    const order = createOrder(simulation, OrderKind.LOAD, model, name.adapter);
    simulation.holdings.applyAnswer(order, simulation.engine.order(order));
  },
  [Step.UNANSWERED_LOAD]: (simulation, model) => {
    if (simulation.holdings.findModelLoadBlocker(model) !== undefined) return;
    const order = createOrder(simulation, OrderKind.LOAD, model);
    simulation.lateOrders.push(order);
    simulation.holdings.applyAnswer(order, undefined);
  },
  [Step.DELIVER_LATE]: simulation => {
    const order = simulation.lateOrders.shift();
    if (order) simulation.engine.order(order);
  },
  [Step.RESTART]: simulation => {
    simulation.engine.restart();
    simulation.holdings = simulation.holdings.forNewProcess(ENGINE);
    simulation.laggingReport = simulation.engine.report();
  },
  [Step.CHANGE_HOLDER]: simulation => {
    // A new holder does not know of delayed orders to a restarted engine. In
    // the system fencing and the wait after a takeover rule them out.
    if (simulation.lateOrders.length > 0) return;
    simulation.fence += 1;
    simulation.holdings = new EngineHoldingsTracker(ENGINE, () => CAPACITY);
  },
};

/** Runs the steps and checks after each that the capacity is not exceeded. */
function runSteps(
  steps: ReadonlyArray<{readonly step: Step; readonly model: string}>,
): void {
  const engine = new SimulatedEngine();
  const simulation: Simulation = {
    engine,
    holdings: new EngineHoldingsTracker(ENGINE, () => CAPACITY),
    fence: 1,
    laggingReport: engine.report(),
    lateOrders: [],
  };
  for (const {step: name, model} of steps) {
    STEPS[name](simulation, model);
    expect(engine.committedMegabytes).to.be.at.most(CAPACITY.weightMegabytes);
    expect(engine.adapterCount).to.be.at.most(CAPACITY.adapterSlots);
  }
}

describe('tracked holdings of an engine', () => {
  const model = fc.constantFrom('one', 'two', 'three', 'four', 'five');
  const anyStep = fc.record({
    step: fc.constantFrom(...Object.values(Step)),
    model,
  });
  /** Fills the engine; uniformly random steps seldom do. */
  const fillingStep = fc.record({
    step: fc.constantFrom(
      Step.LOAD,
      Step.LOAD_ADAPTER,
      Step.FINISH,
      Step.REPORT,
    ),
    model,
  });
  const stepSequences = {
    'with late and lost messages': fc.array(anyStep, {
      maxLength: 60,
      size: 'max',
    }),
    'when it is nearly full': fc.array(
      fc.oneof({weight: 9, arbitrary: fillingStep}, anyStep),
      {maxLength: 120, size: 'max'},
    ),
  };

  for (const [condition, steps] of Object.entries(stepSequences)) {
    it(`never overfills an engine, ${condition}`, () => {
      fc.assert(fc.property(steps, runSteps), {
        numRuns: 2_000,
        seed: 20261204,
      });
    });
  }

  it('reserves memory for a late order to a restarted engine', () => {
    const engine = new SimulatedEngine();
    const simulation: Simulation = {
      engine,
      holdings: new EngineHoldingsTracker(ENGINE, () => CAPACITY),
      fence: 1,
      laggingReport: engine.report(),
      lateOrders: [],
    };
    const run = (step: Step, model = 'one') => {
      STEPS[step](simulation, model);
      STEPS[Step.FINISH](simulation, model);
      STEPS[Step.REPORT](simulation, model);
    };
    run(Step.REPORT);
    run(Step.LOAD, 'one');
    run(Step.LOAD, 'two');
    run(Step.UNLOAD, 'two');
    run(Step.UNANSWERED_LOAD, 'five');
    run(Step.RESTART);
    for (const model of ['one', 'two', 'three']) run(Step.LOAD, model);
    run(Step.DELIVER_LATE);
    expect(engine.committedMegabytes).to.be.at.most(CAPACITY.weightMegabytes);
  });

  function reportedHoldings(models: readonly string[]): EngineHoldingsTracker {
    const holdings = new EngineHoldingsTracker(ENGINE, () => CAPACITY);
    holdings.applyReport({
      sequence: 3,
      models: models.map(name => ({name, adapters: []})),
      comingAdapters: [],
      isBusy: false,
      running: 0,
      waiting: 0,
    });
    return holdings;
  }

  it('reserves memory for an order that has no answer yet when the engine restarts', () => {
    const lease = {holder: 'node', fence: 1};
    const before = reportedHoldings([]);
    before.createOrder(OrderKind.LOAD, 'three', undefined, lease);
    const holdings = before.forNewProcess(ENGINE);
    holdings.applyReport({
      sequence: 2,
      models: ['one', 'two'].map(name => ({name, adapters: []})),
      comingAdapters: [],
      isBusy: false,
      running: 0,
      waiting: 0,
    });
    expect(holdings.findModelLoadBlocker('four')).to.be.a('string');
  });

  it('refuses loads before the first report', () => {
    const holdings = new EngineHoldingsTracker(ENGINE, () => CAPACITY);
    expect(holdings.findModelLoadBlocker('one')).to.be.a('string');
  });

  it('refuses models that are not in the catalogue or do not fit', () => {
    expect(reportedHoldings([]).findModelLoadBlocker('unknown')).to.be.a(
      'string',
    );
    expect(
      reportedHoldings(['one', 'two', 'three']).findModelLoadBlocker('four'),
    ).to.be.a('string');
    expect(
      reportedHoldings(['one', 'two']).findModelLoadBlocker('three'),
    ).to.equal(undefined);
  });

  it('is up to date after an acceptance, stale after a missing answer', () => {
    const holdings = reportedHoldings(['one']);
    const order = holdings.createOrder(OrderKind.LOAD, 'one', 'a1', {
      holder: 'node',
      fence: 1,
    });
    holdings.applyAnswer(order, HoldingOrderAnswer.ACCEPTED);
    expect(holdings.isUpToDate).to.equal(true);
    const next = holdings.createOrder(OrderKind.LOAD, 'one', 'a2', {
      holder: 'node',
      fence: 1,
    });
    expect(next.expectedSequence).to.equal(4);
    holdings.applyAnswer(next, undefined);
    expect(holdings.isUpToDate).to.equal(false);
  });

  it('ignores a report made before the last accepted order', () => {
    const holdings = reportedHoldings(['one']);
    const order = holdings.createOrder(OrderKind.LOAD, 'two', undefined, {
      holder: 'node',
      fence: 1,
    });
    holdings.applyAnswer(order, HoldingOrderAnswer.ACCEPTED);
    holdings.applyReport({
      sequence: 3,
      models: [],
      comingAdapters: [],
      isBusy: false,
      running: 0,
      waiting: 0,
    });
    expect(holdings.isBusy).to.equal(true);
    expect(holdings.holdsModel('one')).to.equal(true);
  });
});
