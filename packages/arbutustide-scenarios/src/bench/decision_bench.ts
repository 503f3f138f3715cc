import type {CatalogueDocument} from '@arbutustide/catalogue';
import type {PlannableWorker} from '@arbutustide/placement';

import {
  CatalogueRevision,
  catalogueSchema,
  EntryKind,
} from '@arbutustide/catalogue';
import {planPlacement} from '@arbutustide/placement';
import {chooseReplicas, UpstreamDirectory} from '@arbutustide/routing';
import {HostKind, HostState} from '@arbutustide/upstream';
import seedrandom from 'seedrandom';

import {median} from './statistics.js';

/** Size of a cluster whose routing and placement are measured. */
export interface ClusterSize {
  readonly models: number;
  readonly adapters: number;
  readonly workers: number;
  readonly failureDomains: number;
}

/** Cost of routing and placement decisions at one cluster size. */
export interface DecisionCosts extends ClusterSize {
  readonly choiceMicroseconds: number;
  readonly planMilliseconds: number;
  /** Heap size of the upstream directory and the catalogue, in bytes. */
  readonly stateBytes: number;
}

const RANDOM_SEED = 'decisions';
const MODEL_BYTES = 16_000_000_000;
const WORKER_BYTES = 640_000_000_000;
const MODELS_PER_WORKER = 6;
const CHOICE_COUNT = 20_000;
const PLAN_COUNT = 7;

/** Measures the cost of routing choices and placement plans, and their state. */
export function measureDecisions(size: ClusterSize): DecisionCosts {
  const random = seedrandom(RANDOM_SEED);
  const heapBefore = readHeapUsedBytes();
  const catalogue = createCatalogue(size);
  const itemsByWorker = assignModelsToWorkers(size, random);
  const directory = createDirectory(size, itemsByWorker);
  const stateBytes = readHeapUsedBytes() - heapBefore;
  return {
    ...size,
    choiceMicroseconds: measureChoiceMicroseconds(catalogue, directory, random),
    planMilliseconds: measurePlanMilliseconds(catalogue, size, itemsByWorker),
    stateBytes,
  };
}

function readHeapUsedBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function createCatalogue(size: ClusterSize): CatalogueRevision {
  const common = {owner: 'bench', class: 'interactive'};
  const models = Array.from({length: size.models}, (_empty, index) => ({
    ...common,
    name: `model-${index}`,
    kind: EntryKind.MODEL,
    memoryBytes: MODEL_BYTES,
    minimumReplicas: 2,
  }));
  const adapters = Array.from({length: size.adapters}, (_empty, index) => ({
    ...common,
    name: `adapter-${index}`,
    kind: EntryKind.ADAPTER,
    base: `model-${index % size.models}`,
    memoryBytes: 100_000_000,
  }));
  const document: CatalogueDocument = catalogueSchema.parse({
    classes: [
      {
        name: 'interactive',
        deadlineMilliseconds: 30_000,
        firstTokenMilliseconds: 810,
        progressMilliseconds: 5_000,
        priority: 1,
      },
    ],
    entries: [...models, ...adapters],
  });
  return new CatalogueRevision(1, document);
}

/** Assigns items to each worker; every model is on two workers or more. */
function assignModelsToWorkers(
  size: ClusterSize,
  random: () => number,
): string[][] {
  const items: Set<number>[] = Array.from(
    {length: size.workers},
    () => new Set<number>(),
  );
  for (let model = 0; model < size.models; model += 1) {
    items[model % size.workers].add(model);
    items[(model + 1) % size.workers].add(model);
  }
  for (const heldModels of items) {
    while (heldModels.size < Math.min(MODELS_PER_WORKER, size.models)) {
      heldModels.add(Math.floor(random() * size.models));
    }
  }
  return items.map(heldModels =>
    [...heldModels].map(model => `model-${model}@1`),
  );
}

function createDirectory(
  size: ClusterSize,
  itemsByWorker: readonly string[][],
): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  directory.applyHosts(
    itemsByWorker.map((_items, index) => ({
      id: `engine-${index}`,
      kind: HostKind.ENGINE,
      url: `http://10.1.${index}.1:8000`,
      region: 'island',
      failureDomain: `domain-${index % size.failureDomains}`,
      state: HostState.LIVE,
      checksFencing: true,
    })),
  );
  for (const [index, residentItems] of itemsByWorker.entries()) {
    directory.applyObservation({
      upstreamId: `engine-${index}`,
      instanceId: 'start',
      inFlight: index % 32,
      queued: 0,
      isLeaving: false,
      residentItems,
      readAtMilliseconds: performance.now(),
    });
  }
  return directory;
}

function measureChoiceMicroseconds(
  catalogue: CatalogueRevision,
  directory: UpstreamDirectory,
  random: () => number,
): number {
  const models = catalogue.entriesOfKind(EntryKind.MODEL);
  const startedAt = performance.now();
  for (let index = 0; index < CHOICE_COUNT; index += 1) {
    const entry = models[index % models.length];
    const ready = directory.readyReplicas(entry, catalogue.itemName(entry));
    chooseReplicas(ready, {
      ownFailureDomain: 'domain-0',
      peerLoad: () => 3,
      serviceMilliseconds: 500,
      upstreamConcurrency: 32,
      crossDomainMilliseconds: 5,
      prefixMilliseconds: 100,
      prefixDigest: undefined,
      sampleSize: 3,
      random,
    }).next();
  }
  return ((performance.now() - startedAt) * 1_000) / CHOICE_COUNT;
}

function measurePlanMilliseconds(
  catalogue: CatalogueRevision,
  size: ClusterSize,
  itemsByWorker: readonly string[][],
): number {
  const workers: PlannableWorker[] = itemsByWorker.map((items, index) => ({
    takesLoads: true,
    record: {
      upstreamId: `engine-${index}`,
      failureDomain: `domain-${index % size.failureDomains}`,
      engineStart: 'start',
      memoryBytes: WORKER_BYTES,
      acceleratorCount: 8,
      items: items.map(item => ({item, memoryBytes: MODEL_BYTES})),
      intents: [],
      acknowledgedFence: 1,
      writeId: '',
    },
  }));
  const durations = Array.from({length: PLAN_COUNT}, () => {
    const startedAt = performance.now();
    planPlacement({
      catalogue,
      workers,
      expectedDemand: () => 20,
      replicaConcurrency: 16,
      moveCost: 1,
      hasMetMinimumStay: () => true,
      maximumNewLoads: 8,
    });
    return performance.now() - startedAt;
  });
  return median(durations);
}
