/**
 * Guards against a list of upstreams from a restored store: it may lack live
 * upstreams and show those as ready that have left. Also against the snapshot
 * of a peer from before the restore, and against requests to an upstream that
 * left while calls to the store failed.
 */
import type {
  ObjectStore,
  StoredObject,
  WatchBatch,
} from '@arbutustide/object-store';
import type {UpstreamDescription} from '@arbutustide/routing';

import type {ProxyDependencies} from '../../proxy/proxy_dependencies.js';

import {StoreError, StoreErrorKind, toVersion} from '@arbutustide/object-store';
import {
  chooseUpstream,
  ProxyUpstream,
  ProxyUpstreamDirectory,
  UpstreamState,
} from '@arbutustide/routing';
import {silentLogger} from '@arbutustide/telemetry';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {UpstreamWatcher} from '../../proxy/upstream_watcher.js';

const REMOVAL_GRACE_MILLISECONDS = 2_000;
const CHANGE_BOUND_MILLISECONDS = 2_000;
const STEP_MILLISECONDS = 300;
const BEAT_MILLISECONDS = 1_200;
/** Long enough for entries to lapse that could not be renewed. */
const OUTAGE_MILLISECONDS = 3 * BEAT_MILLISECONDS;
/** Longest pause of the watcher after a failed call. */
const RETRY_MILLISECONDS = 1_000;

const REFUSED = new StoreError(StoreErrorKind.UNAVAILABLE, 'turned away');
const SILENT = new StoreError(StoreErrorKind.UNAVAILABLE, 'no answer', true);

/** Answers lists and watches as a test sets them; watches wait for a batch. */
class ScriptedStore implements Pick<
  ObjectStore,
  'list' | 'watch' | 'eraStartVersion'
> {
  era = 1;
  objects: StoredObject[] = [];
  private pendingBatches: Partial<WatchBatch>[] = [];
  /** How watches fail; they are served if absent. */
  failure: StoreError | undefined;
  private revision = 1;

  get eraStartVersion(): number {
    return toVersion(this.era, 0);
  }

  deliver(batch: Partial<WatchBatch>): void {
    this.pendingBatches.push(batch);
  }

  async list() {
    return Ok({objects: this.objects, version: this.nextVersion()});
  }

  async watch(_prefix: string, afterVersion: number) {
    for (;;) {
      if (afterVersion < this.eraStartVersion)
        return Err(new StoreError(StoreErrorKind.HISTORY_GONE, 'restored'));
      const {failure} = this;
      if (failure?.isTimeout)
        await new Promise(resolve => setTimeout(resolve, OUTAGE_MILLISECONDS));
      if (failure?.kind === StoreErrorKind.HISTORY_GONE)
        this.failure = undefined;
      if (failure) return Err(failure);
      const batch = this.pendingBatches.shift();
      if (batch) {
        const version = this.nextVersion();
        return Ok({changes: [], deletedKeys: [], ...batch, version});
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  private nextVersion(): number {
    this.revision += 1;
    return toVersion(this.era, this.revision);
  }
}

function entry(id: string, state = UpstreamState.READY, version = 1) {
  const description: UpstreamDescription = {
    id,
    service: 'service',
    address: '10.0.0.1:80',
    failureDomain: 'near',
    softwareVersion: 'v1',
    state,
    slots: 4,
    startedAt: 1,
    models: [],
    modelsInMemory: [],
    modelsOnDisk: [],
  };
  return {key: `upstreams/${id}`, version, value: description};
}

describe('UpstreamWatcher', () => {
  let clock: ReturnType<typeof install>;
  let store: ScriptedStore;
  let directory: ProxyUpstreamDirectory;
  let watcher: UpstreamWatcher;
  let stopController: AbortController;

  beforeEach(() => {
    clock = install();
    store = new ScriptedStore();
    directory = new ProxyUpstreamDirectory();
    const dependencies: Partial<ProxyDependencies> = {
      logger: silentLogger(),
      settings: {
        changeBoundMilliseconds: CHANGE_BOUND_MILLISECONDS,
        upstreamBeatMilliseconds: BEAT_MILLISECONDS,
      } as ProxyDependencies['settings'],
      store: store as unknown as ObjectStore,
      upstreams: {
        prefix: 'upstreams/',
        decode: object => Ok(object.value as UpstreamDescription),
        parseId: key => key.slice('upstreams/'.length),
      },
      connector: {
        drainConnections: () => {},
      } as unknown as ProxyDependencies['connector'],
    };
    watcher = new UpstreamWatcher(dependencies as ProxyDependencies, directory);
    stopController = new AbortController();
  });

  afterEach(async () => {
    stopController.abort();
    clock.uninstall();
  });

  const readyIds = () =>
    [...directory.all()].filter(({isReady}) => isReady).map(({id}) => id);

  async function restoreWith(objects: StoredObject[]): Promise<void> {
    store.era += 1;
    store.objects = objects;
    await clock.tickAsync(STEP_MILLISECONDS);
  }

  const chosenId = () => {
    const choice = chooseUpstream(directory.all(), undefined, new Set(), {
      fullShare: 1,
      ownFailureDomain: 'near',
      priceShare: 0,
      requestMilliseconds: 1,
      random: () => 0,
    });
    return choice instanceof ProxyUpstream ? choice.id : undefined;
  };

  /** One upstream leaves unreported while calls to the store fail. */
  async function removeBesideFailure(
    failure: StoreError,
    milliseconds: number,
  ): Promise<void> {
    store.objects = [entry('gone'), entry('here')];
    void watcher.run(stopController.signal);
    await clock.tickAsync(STEP_MILLISECONDS);
    store.failure = failure;
    await clock.tickAsync(milliseconds);
    store.failure = undefined;
    store.deliver({deletedKeys: ['upstreams/gone']});
    await clock.tickAsync(RETRY_MILLISECONDS);
  }

  it('removes at once what left while a watch was cut off', async () => {
    await removeBesideFailure(REFUSED, STEP_MILLISECONDS);
    expect(readyIds()).to.eql(['here']);
  });

  for (const failure of [REFUSED, SILENT]) {
    it(`uses others while an entry may have lapsed: ${failure.message}`, async () => {
      await removeBesideFailure(failure, OUTAGE_MILLISECONDS);
      expect(readyIds()).to.eql(['gone', 'here']);
      expect(chosenId()).to.equal('here');
      directory.remove('here');
      expect(chosenId()).to.equal('gone');
      await clock.tickAsync(REMOVAL_GRACE_MILLISECONDS);
      expect(chosenId()).to.equal(undefined);
    });
  }

  for (const isLong of [false, true]) {
    const time = isLong ? 'long' : 'short';
    it(`knows whether it may have missed upstreams after a ${time} gap`, async () => {
      store.objects = [entry('one')];
      void watcher.run(stopController.signal);
      await clock.tickAsync(STEP_MILLISECONDS);
      store.deliver({});
      await clock.tickAsync(STEP_MILLISECONDS);
      store.failure = REFUSED;
      await clock.tickAsync(isLong ? OUTAGE_MILLISECONDS : STEP_MILLISECONDS);
      store.failure = new StoreError(StoreErrorKind.HISTORY_GONE, 'dropped');
      await clock.tickAsync(RETRY_MILLISECONDS);
      const hasMissed = watcher.missedChangesAtMilliseconds > 0;
      expect(hasMissed).to.equal(isLong);
    });
  }

  it('uses an upstream as before once it has renewed its entry', async () => {
    await removeBesideFailure(REFUSED, OUTAGE_MILLISECONDS);
    store.deliver({changes: [entry('gone')]});
    await clock.tickAsync(STEP_MILLISECONDS * 2);
    expect(directory.get('gone')?.isUnlisted).to.equal(false);
    await clock.tickAsync(REMOVAL_GRACE_MILLISECONDS);
    expect(readyIds()).to.eql(['gone', 'here']);
  });

  it('keeps upstreams that a restored list lacks until they list themselves', async () => {
    store.objects = [entry('one'), entry('two')];
    void watcher.run(stopController.signal);
    await clock.tickAsync(STEP_MILLISECONDS);
    await restoreWith([]);
    expect(readyIds()).to.eql(['one', 'two']);
    store.deliver({changes: [entry('one')]});
    await clock.tickAsync(REMOVAL_GRACE_MILLISECONDS);
    expect(readyIds()).to.eql(['one']);
  });

  it('does not use an upstream that had left and is in a restored list', async () => {
    store.objects = [entry('one'), entry('two'), entry('three')];
    void watcher.run(stopController.signal);
    await clock.tickAsync(STEP_MILLISECONDS);
    store.deliver({
      changes: [entry('one', UpstreamState.LEAVING)],
      deletedKeys: ['upstreams/two'],
    });
    await clock.tickAsync(STEP_MILLISECONDS);
    await restoreWith([entry('one'), entry('two'), entry('three')]);
    expect(readyIds()).to.eql(['three']);
    // An upstream that was only silent lists itself again.
    store.deliver({changes: [entry('one'), entry('two')]});
    await clock.tickAsync(STEP_MILLISECONDS);
    expect(readyIds()).to.have.members(['three', 'two']);
  });

  it('refuses the snapshot of a peer from before a restore', () => {
    store.era = 2;
    watcher.initializeFromPeer([entry('one', UpstreamState.READY, 7)]);
    expect(watcher.isInitialized).to.equal(false);
    watcher.initializeFromPeer([
      entry('one', UpstreamState.READY, toVersion(2, 7)),
    ]);
    expect(readyIds()).to.eql(['one']);
  });

  it('merges what a peer has read later, but nothing that has left', async () => {
    store.objects = [
      entry('one', UpstreamState.READY, toVersion(1, 5)),
      entry('two', UpstreamState.READY, toVersion(1, 5)),
      entry('three', UpstreamState.READY, toVersion(1, 5)),
    ];
    void watcher.run(stopController.signal);
    await clock.tickAsync(STEP_MILLISECONDS);
    store.deliver({deletedKeys: ['upstreams/three']});
    await clock.tickAsync(STEP_MILLISECONDS);
    const merged = watcher.mergeFromPeer([
      entry('one', UpstreamState.LEAVING, toVersion(1, 4)),
      entry('two', UpstreamState.LEAVING, toVersion(1, 9)),
      entry('three', UpstreamState.READY, toVersion(1, 5)),
      entry('four', UpstreamState.READY, toVersion(1, 9)),
      entry('five', UpstreamState.READY, toVersion(0, 9)),
    ]);
    expect(merged).to.equal(2);
    expect(readyIds()).to.eql(['one', 'four']);
  });
});
