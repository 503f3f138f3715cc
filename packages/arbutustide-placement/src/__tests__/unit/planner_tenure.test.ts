import type {ObjectStore, StoredObject} from '@arbutustide/object-store';

import {StoreError, StoreErrorKind} from '@arbutustide/object-store';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {leaseKey, PlannerLease} from '../../planner_lease.js';
import {PlannerTenure} from '../../planner_tenure.js';

const LEASE_MILLISECONDS = 3_000;
const RENEWAL_MILLISECONDS = 1_000;
const REGION = 'all';
const NODES = 6;

/** A store that is out of reach for some callers at times. */
class SharedObjects {
  readonly objects = new Map<string, StoredObject>();
  private version = 0;

  put(key: string, value: unknown): StoredObject {
    this.version += 1;
    const object = {key, version: this.version, value};
    this.objects.set(key, object);
    return object;
  }
}

/** The shared store as one node reaches it. */
class NodeStore implements Pick<ObjectStore, 'get' | 'create' | 'update'> {
  isReachable = true;

  constructor(private readonly shared: SharedObjects) {}

  async get(key: string) {
    if (!this.isReachable) return outage();
    const object = this.shared.objects.get(key);
    return object
      ? Ok(object)
      : Err(new StoreError(StoreErrorKind.NOT_FOUND, key));
  }

  async create(key: string, value: unknown) {
    if (!this.isReachable) return outage();
    if (this.shared.objects.has(key)) return conflict(key);
    return Ok(this.shared.put(key, value));
  }

  async update(key: string, value: unknown, version: number) {
    if (!this.isReachable) return outage();
    const isCurrent = this.shared.objects.get(key)?.version === version;
    return isCurrent ? Ok(this.shared.put(key, value)) : conflict(key);
  }
}

function outage() {
  return Err(new StoreError(StoreErrorKind.UNAVAILABLE, 'out of reach'));
}

function conflict(key: string) {
  return Err(new StoreError(StoreErrorKind.CONFLICT, key));
}

/** Names of processes that have ended for certain. */
const ended = new Set<string>();

function createNode(
  shared: SharedObjects,
  name: string,
  areFencesChecked = true,
) {
  const store = new NodeStore(shared);
  const lease = new PlannerLease(
    store as unknown as ObjectStore,
    REGION,
    name,
    LEASE_MILLISECONDS,
    async identity => ended.has(identity),
  );
  const heard = {nodes: NODES, otherEpoch: 0, hasSteppedDown: false};
  const tenure = new PlannerTenure(
    lease,
    {
      nodeCount: () => heard.nodes,
      otherPlannerEpoch: () => heard.otherEpoch,
      hasSteppedDown: () => heard.hasSteppedDown,
    },
    {areFencesChecked},
  );
  return {store, lease, heard, tenure};
}

type TestNode = ReturnType<typeof createNode>;

describe('tenure of the planner', () => {
  let clock: ReturnType<typeof install>;
  let shared: SharedObjects;
  let holder: TestNode;
  let other: TestNode;

  beforeEach(async () => {
    clock = install();
    ended.clear();
    shared = new SharedObjects();
    holder = createNode(shared, 'holder');
    other = createNode(shared, 'other');
    await holder.lease.maintain();
    await other.lease.maintain();
  });

  afterEach(() => clock.uninstall());

  /** Both nodes try the store at each renewal for some time. */
  async function pass(milliseconds: number): Promise<void> {
    const rounds = milliseconds / RENEWAL_MILLISECONDS;
    for (let round = 0; round < rounds; round += 1) {
      await clock.tickAsync(RENEWAL_MILLISECONDS);
      expect(holder.tenure.checkActive() || !holder.lease.isHeld).to.equal(
        true,
      );
      await holder.lease.maintain();
      await other.lease.maintain();
    }
  }

  function cutStore(...nodes: TestNode[]): void {
    for (const {store} of nodes) store.isReachable = false;
  }

  it('goes on while the store is away for every node', async () => {
    expect(holder.tenure.checkActive()).to.equal(true);
    cutStore(holder, other);
    await pass(4 * LEASE_MILLISECONDS);
    expect(holder.lease.isHeld).to.equal(false);
    expect(holder.tenure.checkActive()).to.equal(true);
    expect(other.tenure.checkActive()).to.equal(false);
  });

  it('keeps the lease after an outage, of which nobody knew the holder', async () => {
    await pass(RENEWAL_MILLISECONDS);
    const {epoch} = holder.lease;
    cutStore(holder, other);
    await pass(2 * LEASE_MILLISECONDS);
    holder.store.isReachable = true;
    other.store.isReachable = true;
    // The challenger asks first, and has not seen the lease since the outage.
    await other.lease.maintain();
    await pass(LEASE_MILLISECONDS);
    expect(other.lease.isHeld).to.equal(false);
    expect(holder.lease.isHeld).to.equal(true);
    expect(holder.lease.epoch).to.equal(epoch);
  });

  it('ends when a successor is heard of', async () => {
    cutStore(holder);
    await pass(2 * LEASE_MILLISECONDS);
    expect(other.lease.isHeld).to.equal(true);
    expect(other.lease.settleMilliseconds).to.equal(LEASE_MILLISECONDS);
    holder.heard.otherEpoch = other.lease.epoch;
    expect(holder.tenure.checkActive()).to.equal(false);
    // The successor may fall silent; the lease is lost all the same.
    holder.heard.otherEpoch = 0;
    expect(holder.tenure.checkActive()).to.equal(false);
  });

  it('begins once the holder before tells that it has stopped', async () => {
    cutStore(holder);
    await pass(LEASE_MILLISECONDS);
    await clock.tickAsync(RENEWAL_MILLISECONDS);
    await other.lease.maintain();
    expect(other.tenure.checkActive()).to.equal(true);
    expect(other.tenure.isSettled).to.equal(false);
    other.heard.hasSteppedDown = true;
    expect(other.tenure.isSettled).to.equal(true);
    other.heard.hasSteppedDown = false;
    await clock.tickAsync(LEASE_MILLISECONDS);
    expect(other.tenure.isSettled).to.equal(true);
  });

  it('ends when the store shows a successor', async () => {
    cutStore(holder);
    await pass(2 * LEASE_MILLISECONDS);
    holder.store.isReachable = true;
    await holder.lease.maintain();
    expect(holder.tenure.checkActive()).to.equal(false);
  });

  it('ends where most nodes are no longer heard of', async () => {
    expect(holder.tenure.checkActive()).to.equal(true);
    cutStore(holder);
    holder.heard.nodes = 2;
    await pass(LEASE_MILLISECONDS);
    expect(holder.tenure.checkActive()).to.equal(false);
  });

  it('ends with a refusal or a standstill until the lease is renewed', async () => {
    expect(holder.tenure.checkActive()).to.equal(true);
    cutStore(holder, other);
    await pass(LEASE_MILLISECONDS);
    holder.lease.distrust();
    expect(holder.tenure.checkActive()).to.equal(false);
    holder.store.isReachable = true;
    await holder.lease.maintain();
    expect(holder.tenure.checkActive()).to.equal(true);
  });

  it('ends with the lease where engines check no fencing token', async () => {
    const node = createNode(new SharedObjects(), 'node', false);
    await node.lease.maintain();
    expect(node.tenure.checkActive()).to.equal(true);
    cutStore(node);
    await clock.tickAsync(LEASE_MILLISECONDS);
    await node.lease.maintain();
    expect(node.tenure.checkActive()).to.equal(false);
  });

  it('passes at once from a holder that has certainly ended', async () => {
    ended.add('holder');
    await other.lease.maintain();
    expect(other.tenure.checkActive()).to.equal(true);
    expect(other.tenure.isSettled).to.equal(true);
  });

  it('passes at once from a holder that gave the lease up', async () => {
    await holder.lease.release();
    await other.lease.maintain();
    expect(other.tenure.checkActive()).to.equal(true);
    expect(other.tenure.isSettled).to.equal(true);
  });

  it('waits for late orders of an ended holder where no fence is checked', async () => {
    const node = createNode(shared, 'node', false);
    ended.add('holder');
    await node.lease.maintain();
    expect(node.tenure.checkActive()).to.equal(true);
    node.heard.hasSteppedDown = true;
    expect(node.tenure.isSettled).to.equal(false);
  });

  it('takes over a lease that another writer spoilt', async () => {
    cutStore(holder);
    const spoilt = shared.put(leaseKey(REGION), {holder: 7});
    await pass(2 * LEASE_MILLISECONDS);
    expect(other.lease.isHeld).to.equal(true);
    expect(other.lease.epoch).to.be.greaterThan(spoilt.version);
  });
});
