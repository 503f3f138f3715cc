import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {leaseKey, PlannerLease} from '../../planner_lease.js';
import {PlannerLeadership} from '../../planner_leadership.js';

const LEASE_MILLISECONDS = 3_000;
const RENEWAL_MILLISECONDS = 1_000;
const REGION = 'all';
const NODE_COUNT = 6;

/** Contents of the object store, shared by all simulated nodes. */
class SharedStoreState {
  readonly objects = new Map<string, StoredObject>();
  private version = 0;

  put(key: string, value: unknown): StoredObject {
    this.version += 1;
    const object = {key, version: this.version, value};
    this.objects.set(key, object);
    return object;
  }
}

/** One node's connection to the shared store, which can be cut. */
class DisconnectableStore implements Pick<
  ObjectStore,
  'get' | 'create' | 'update' | 'eraStartVersion'
> {
  readonly eraStartVersion = 0;
  isReachable = true;

  constructor(private readonly shared: SharedStoreState) {}

  async get(key: string) {
    if (!this.isReachable) return unavailableError();
    const object = this.shared.objects.get(key);
    return object
      ? Ok(object)
      : Err(new StoreError(StoreErrorKind.NOT_FOUND, key));
  }

  async create(key: string, value: unknown) {
    if (!this.isReachable) return unavailableError();
    if (this.shared.objects.has(key)) return conflictError(key);
    return Ok(this.shared.put(key, value));
  }

  async update(key: string, value: unknown, version: number) {
    if (!this.isReachable) return unavailableError();
    const isCurrent = this.shared.objects.get(key)?.version === version;
    return isCurrent ? Ok(this.shared.put(key, value)) : conflictError(key);
  }
}

function unavailableError() {
  return Err(
    new StoreError(StoreErrorKind.UNAVAILABLE, 'store is unreachable'),
  );
}

function conflictError(key: string) {
  return Err(new StoreError(StoreErrorKind.CONFLICT, key));
}

/** Identities of processes that have certainly ended. */
const endedHolders = new Set<string>();

function createNode(
  shared: SharedStoreState,
  name: string,
  areFencesChecked = true,
) {
  const store = new DisconnectableStore(shared);
  const lease = new PlannerLease(
    store as unknown as ObjectStore,
    REGION,
    name,
    LEASE_MILLISECONDS,
    async identity => endedHolders.has(identity),
  );
  const clusterState = {
    liveNodes: NODE_COUNT,
    otherEpoch: 0,
    hasSteppedDown: false,
  };
  const leadership = new PlannerLeadership(
    lease,
    {
      liveNodeCount: () => clusterState.liveNodes,
      otherPlannerEpoch: () => clusterState.otherEpoch,
      hasSteppedDown: () => clusterState.hasSteppedDown,
    },
    {areFencesChecked},
  );
  return {store, lease, clusterState, leadership};
}

type TestNode = ReturnType<typeof createNode>;

/**
 * Guards against two planners that send orders at once, and against none while
 * the store is unavailable. Both come about when a lease cannot be renewed: the
 * last holder continues until it learns of a successor, and the successor must
 * wait until its predecessor has stopped.
 */
describe('planner leadership', () => {
  let clock: ReturnType<typeof install>;
  let shared: SharedStoreState;
  let holder: TestNode;
  let challenger: TestNode;

  beforeEach(async () => {
    clock = install();
    endedHolders.clear();
    shared = new SharedStoreState();
    holder = createNode(shared, 'holder');
    challenger = createNode(shared, 'other');
    await holder.lease.acquireOrRenew();
    await challenger.lease.acquireOrRenew();
  });

  afterEach(() => clock.uninstall());

  /**
   * Lets both nodes maintain the lease at each renewal interval. Checks that a
   * node which holds the lease is active.
   */
  async function runRenewals(milliseconds: number): Promise<void> {
    const rounds = milliseconds / RENEWAL_MILLISECONDS;
    for (let round = 0; round < rounds; round += 1) {
      await clock.tickAsync(RENEWAL_MILLISECONDS);
      expect(
        holder.leadership.checkLeadership() || !holder.lease.isHeld,
      ).to.equal(true);
      await holder.lease.acquireOrRenew();
      await challenger.lease.acquireOrRenew();
    }
  }

  function disconnectFromStore(...nodes: TestNode[]): void {
    for (const {store} of nodes) store.isReachable = false;
  }

  it('continues while the store is unavailable to all nodes', async () => {
    expect(holder.leadership.checkLeadership()).to.equal(true);
    disconnectFromStore(holder, challenger);
    await runRenewals(4 * LEASE_MILLISECONDS);
    expect(holder.lease.isHeld).to.equal(false);
    expect(holder.leadership.checkLeadership()).to.equal(true);
    expect(challenger.leadership.checkLeadership()).to.equal(false);
  });

  it('keeps the lease after an outage for all nodes', async () => {
    await runRenewals(RENEWAL_MILLISECONDS);
    const {epoch} = holder.lease;
    disconnectFromStore(holder, challenger);
    await runRenewals(2 * LEASE_MILLISECONDS);
    holder.store.isReachable = true;
    challenger.store.isReachable = true;
    // The challenger asks first and has not seen the lease since the outage.
    await challenger.lease.acquireOrRenew();
    await runRenewals(LEASE_MILLISECONDS);
    expect(challenger.lease.isHeld).to.equal(false);
    expect(holder.lease.isHeld).to.equal(true);
    expect(holder.lease.epoch).to.equal(epoch);
  });

  it('ends when another node announces a later epoch', async () => {
    disconnectFromStore(holder);
    await runRenewals(2 * LEASE_MILLISECONDS);
    expect(challenger.lease.isHeld).to.equal(true);
    expect(challenger.lease.takeoverWaitMilliseconds).to.equal(
      LEASE_MILLISECONDS,
    );
    holder.clusterState.otherEpoch = challenger.lease.epoch;
    expect(holder.leadership.checkLeadership()).to.equal(false);
    // The lease stays lost even if the successor's epoch is no longer known.
    holder.clusterState.otherEpoch = 0;
    expect(holder.leadership.checkLeadership()).to.equal(false);
  });

  it('may send orders once the previous holder has stepped down', async () => {
    disconnectFromStore(holder);
    await runRenewals(LEASE_MILLISECONDS);
    await clock.tickAsync(RENEWAL_MILLISECONDS);
    await challenger.lease.acquireOrRenew();
    expect(challenger.leadership.checkLeadership()).to.equal(true);
    expect(challenger.leadership.hasPredecessorStopped).to.equal(false);
    challenger.clusterState.hasSteppedDown = true;
    expect(challenger.leadership.hasPredecessorStopped).to.equal(true);
    challenger.clusterState.hasSteppedDown = false;
    await clock.tickAsync(LEASE_MILLISECONDS);
    expect(challenger.leadership.hasPredecessorStopped).to.equal(true);
  });

  it('ends when the stored lease has another holder', async () => {
    disconnectFromStore(holder);
    await runRenewals(2 * LEASE_MILLISECONDS);
    holder.store.isReachable = true;
    await holder.lease.acquireOrRenew();
    expect(holder.leadership.checkLeadership()).to.equal(false);
  });

  it('ends when the node lost contact with most nodes', async () => {
    expect(holder.leadership.checkLeadership()).to.equal(true);
    disconnectFromStore(holder);
    holder.clusterState.liveNodes = 2;
    await runRenewals(LEASE_MILLISECONDS);
    expect(holder.leadership.checkLeadership()).to.equal(false);
  });

  it('ends after a refusal or suspension until the next renewal', async () => {
    expect(holder.leadership.checkLeadership()).to.equal(true);
    disconnectFromStore(holder, challenger);
    await runRenewals(LEASE_MILLISECONDS);
    holder.lease.invalidateUntilRenewed();
    expect(holder.leadership.checkLeadership()).to.equal(false);
    holder.store.isReachable = true;
    await holder.lease.acquireOrRenew();
    expect(holder.leadership.checkLeadership()).to.equal(true);
  });

  it('ends with the lease if engines do not check fencing tokens', async () => {
    const node = createNode(new SharedStoreState(), 'node', false);
    await node.lease.acquireOrRenew();
    expect(node.leadership.checkLeadership()).to.equal(true);
    disconnectFromStore(node);
    await clock.tickAsync(LEASE_MILLISECONDS);
    await node.lease.acquireOrRenew();
    expect(node.leadership.checkLeadership()).to.equal(false);
  });

  it('passes immediately from a holder that has certainly ended', async () => {
    endedHolders.add('holder');
    await challenger.lease.acquireOrRenew();
    expect(challenger.leadership.checkLeadership()).to.equal(true);
    expect(challenger.leadership.hasPredecessorStopped).to.equal(true);
  });

  it('passes immediately from a holder that released the lease', async () => {
    await holder.lease.release();
    await challenger.lease.acquireOrRenew();
    expect(challenger.leadership.checkLeadership()).to.equal(true);
    expect(challenger.leadership.hasPredecessorStopped).to.equal(true);
  });

  it('waits for late orders of an ended holder without fencing', async () => {
    const node = createNode(shared, 'node', false);
    endedHolders.add('holder');
    await node.lease.acquireOrRenew();
    expect(node.leadership.checkLeadership()).to.equal(true);
    node.clusterState.hasSteppedDown = true;
    expect(node.leadership.hasPredecessorStopped).to.equal(false);
  });

  it('takes over a lease that another writer corrupted', async () => {
    disconnectFromStore(holder);
    const unreadableLease = shared.put(leaseKey(REGION), {holder: 7});
    await runRenewals(2 * LEASE_MILLISECONDS);
    expect(challenger.lease.isHeld).to.equal(true);
    expect(challenger.lease.epoch).to.be.greaterThan(unreadableLease.version);
  });
});
