import type {PlannerLease} from '../../planner_lease.js';
import type {PlannerLeadership} from '../../planner_leadership.js';
import type {
  EngineAddress,
  EngineClient,
  HoldingOrder,
} from '../../engines/engine_client.js';
import type {
  EnginePlannerEnvironment,
  EngineService,
  ListedEngine,
  PlannerEvent,
} from '../../engines/engine_planner_environment.js';
import type {EnginePlannerSettings} from '../../engines/engine_planner.js';

import {delay} from '@arbutustide/errors';
import {AttemptError, AttemptFailure, OrderKind} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {HoldingOrderAnswer} from '../../engines/engine_client.js';
import {EnginePlanner} from '../../engines/engine_planner.js';

export const SERVICE = 'engines';
/** Time after which a call without an answer fails. */
export const CALL_TIMEOUT_MILLISECONDS = 700;
const MODEL_MEGABYTES = 70_000;
const MODELS_PER_ENGINE = 2;
const SLOTS = 16;
export const LOAD_MILLISECONDS = 1_000;

export const PLANNER_SETTINGS: EnginePlannerSettings = {
  holder: 'node-1',
  suspensionMilliseconds: 300,
  planningIntervalMilliseconds: 150,
  maximumReportAgeMilliseconds: 1_000,
  maximumBusyReportAgeMilliseconds: 250,
  maximumSettledReportAgeMilliseconds: 4_000,
  evictionNoticeMilliseconds: 500,
  adapterLoadMilliseconds: 12,
  minimumAdapterIdleMilliseconds: 300,
  shortWindowMilliseconds: 1_000,
  longWindowMilliseconds: 4_000,
  initialDemandShare: 0.75,
  storeLoadBurst: 2,
  storeLoadBurstSeconds: 0.5,
  replicaTargetUtilization: 0.25,
  spareReplicaDemand: 3,
  hysteresisFactor: 1.5,
  moveCost: 0.3,
  busyMoveCostShare: 0.2,
  turnWaitMilliseconds: 12_000,
  turnSpacingMilliseconds: 4_000,
  turnTenureMilliseconds: 6_000,
};

/** An engine that executes model orders, without a network. */
export class SimulatedEngine {
  readonly models = new Set<string>();
  /** Whether calls get an answer. */
  isAnswering = true;
  /** Whether its address refuses connections. */
  hasEnded = false;
  isBusy = false;
  sequence = 0;
  startedAt = 1;
  reportCount = 0;
  /** Time for which the runs of a model hold up its unload. */
  unloadMilliseconds = 0;
  /** When it began to load models. */
  readonly loadStarts: number[] = [];

  constructor(
    readonly id: string,
    private readonly loadMilliseconds: number,
  ) {}

  execute({kind, model, expectedSequence}: HoldingOrder): HoldingOrderAnswer {
    if (this.isBusy || expectedSequence !== this.sequence)
      return HoldingOrderAnswer.CONFLICT;
    this.sequence += 1;
    this.isBusy = true;
    if (kind === OrderKind.UNLOAD) {
      void this.unload(model);
      return HoldingOrderAnswer.ACCEPTED;
    }
    this.loadStarts.push(performance.now());
    void delay(this.loadMilliseconds).then(() => {
      this.models.add(model);
      this.isBusy = false;
    });
    return HoldingOrderAnswer.ACCEPTED;
  }

  private async unload(model: string): Promise<void> {
    if (this.unloadMilliseconds > 0) await delay(this.unloadMilliseconds);
    this.models.delete(model);
    this.isBusy = false;
  }

  get listed(): ListedEngine {
    return {
      id: this.id,
      address: `${this.id}:1`,
      service: SERVICE,
      failureDomain: 'domain-a',
      softwareVersion: 'v1',
      startedAt: this.startedAt,
      isReady: true,
      acceptsCalls: true,
      inFlight: 0,
      requestsPerSecond: undefined,
      modelsInMemory: new Set(),
      modelsOnDisk: new Set(),
    };
  }
}

/** A planner with simulated engines and demand, for a paused clock. */
export class PlannerRig {
  readonly engines: SimulatedEngine[];
  readonly events: PlannerEvent[] = [];
  /** Requests for each model, over all nodes. */
  readonly demand = new Map<string, number>();
  /** All lists of holdings that were published, by engine. */
  readonly publishedLists = new Map<string, Set<readonly string[]>>();
  readonly planner: EnginePlanner;
  /** Times that the demand for a model was read. */
  demandReadCount = 0;
  /** Called once in each pass. */
  onPass = () => {};
  /** Time of an answered call to an engine. */
  callMilliseconds = 5;
  private readonly stopController = new AbortController();

  constructor(
    engineCount: number,
    modelNames: readonly string[],
    storeLoadsPerSecond: number,
    loadMilliseconds = LOAD_MILLISECONDS,
  ) {
    this.engines = Array.from(
      {length: engineCount},
      (_, index) =>
        new SimulatedEngine(`engine-${index + 1}`, loadMilliseconds),
    );
    const service = createService(
      modelNames,
      storeLoadsPerSecond,
      loadMilliseconds,
    );
    this.planner = new EnginePlanner(
      {epoch: 1, invalidateUntilRenewed: () => {}} as PlannerLease,
      {
        epoch: 1,
        checkLeadership: () => true,
        hasPredecessorStopped: true,
      } as PlannerLeadership,
      this.createEngineClient(),
      this.createEnvironment(service),
      PLANNER_SETTINGS,
    );
  }

  start(): void {
    void this.planner.run(this.stopController.signal);
  }

  stop(): void {
    this.stopController.abort();
  }

  isHeld(model: string): boolean {
    return this.engines.some(({models}) => models.has(model));
  }

  private createEngineClient(): EngineClient {
    const call = async <Value>(
      {id}: EngineAddress,
      answer: (engine: SimulatedEngine) => Value,
    ) => {
      const engine = this.engines.find(other => other.id === id);
      if (!engine?.isAnswering) {
        await delay(CALL_TIMEOUT_MILLISECONDS);
        return Err(new AttemptError(AttemptFailure.CANCELLED, 'no answer'));
      }
      await delay(this.callMilliseconds);
      if (engine.hasEnded)
        return Err(
          new AttemptError(AttemptFailure.NOT_CONNECTED, 'refused', true),
        );
      return Ok(answer(engine));
    };
    return {
      fetchReport: address =>
        call(address, engine => {
          engine.reportCount += 1;
          return {
            sequence: engine.sequence,
            models: [...engine.models].map(name => ({name, adapters: []})),
            comingAdapters: [],
            isBusy: engine.isBusy,
            running: 0,
            waiting: 0,
          };
        }),
      sendOrder: (address, order) =>
        call(address, engine => engine.execute(order)),
    };
  }

  private createEnvironment(service: EngineService): EnginePlannerEnvironment {
    const count = (model: string) => {
      this.demandReadCount += 1;
      return this.demand.get(model) ?? 0;
    };
    return {
      listEngines: () => {
        this.onPass();
        return this.engines.map(({listed}) => listed);
      },
      listServices: () => [service],
      countRequests: (_service, model) => count(model),
      countQueuedRequests: (_service, model) => {
        const requests = count(model);
        return this.isHeld(model) ? 0 : requests;
      },
      isAdapterInUse: () => false,
      publishHoldings: ({id}, held) => {
        const lists = this.publishedLists.get(id) ?? new Set();
        this.publishedLists.set(id, held ? lists.add(held) : lists);
      },
      publishExpectedLoads: () => {},
      broadcastHoldings: () => {},
      recordEvent: event => this.events.push(event),
    };
  }
}

function createService(
  modelNames: readonly string[],
  storeLoadsPerSecond: number,
  loadMilliseconds: number,
): EngineService {
  return {
    name: SERVICE,
    weightMegabytes: MODELS_PER_ENGINE * MODEL_MEGABYTES,
    adapterSlots: 8,
    storeLoadsPerSecond,
    slots: SLOTS,
    modelMegabytes: () => MODEL_MEGABYTES,
    adapterMegabytes: () => 0,
    models: modelNames.map(name => ({
      name,
      megabytes: MODEL_MEGABYTES,
      storeLoadMilliseconds: loadMilliseconds,
      diskLoadMilliseconds: loadMilliseconds / 2,
      memoryLoadMilliseconds: loadMilliseconds / 4,
    })),
  };
}
