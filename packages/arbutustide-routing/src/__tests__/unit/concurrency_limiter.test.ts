/**
 * Guards against a limiter that admits out of order, or keeps requests queued
 * that it can no longer answer in time, and against nodes whose shares of one
 * limit together exceed it.
 */

import {Cancellation, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {ConcurrencyLimiter, clusterShare} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;
const SERVICE_MILLISECONDS = 100;

describe('ConcurrencyLimiter', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
  });

  afterEach(() => clock.uninstall());

  function limiterOf(
    maximumInFlight: number,
    maximumQueued: number,
  ): ConcurrencyLimiter {
    return new ConcurrencyLimiter({
      maximumInFlight: () => maximumInFlight,
      maximumQueued: () => maximumQueued,
      serviceMilliseconds: () => SERVICE_MILLISECONDS,
    });
  }

  function acquire(
    limiter: ConcurrencyLimiter,
    priority: number,
    timeoutMilliseconds: number,
    disconnection = new Cancellation(),
  ) {
    const deadlineAtMilliseconds = performance.now() + timeoutMilliseconds;
    return limiter.acquire({
      priority,
      deadlineAtMilliseconds,
      disconnection,
    });
  }

  it('admits the request with the lower priority number first', async () => {
    const limiter = limiterOf(1, 10);
    const first = (await acquire(limiter, 1, 10_000)).unwrap();
    const order: string[] = [];
    void acquire(limiter, 5, 10_000).then(() => order.push('batch'));
    void acquire(limiter, 1, 10_000).then(permit => {
      order.push('interactive');
      permit.unwrap().release();
    });
    first.release();
    await clock.tickAsync(0);
    expect(order).to.deep.equal(['interactive', 'batch']);
  });

  it('refuses at once, as not run, a request that cannot meet its deadline', async () => {
    const limiter = limiterOf(1, 10);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const refused = await acquire(limiter, 1, SERVICE_MILLISECONDS);
    expect(refused.val).to.have.property(
      'kind',
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(refused.val).to.have.property('ran', ExecutionStatus.NOT_EXECUTED);
  });

  it('refuses a queued request as soon as its deadline is unreachable', async () => {
    const limiter = limiterOf(1, 10);
    (await acquire(limiter, 1, 10_000)).unwrap();
    let kind: ErrorKind | undefined;
    void acquire(limiter, 1, 3 * SERVICE_MILLISECONDS).then(result => {
      if (!result.ok) kind = result.val.kind;
    });
    await clock.tickAsync(2 * SERVICE_MILLISECONDS - 1);
    expect(kind).to.equal(undefined);
    await clock.tickAsync(1);
    expect(kind).to.equal(ErrorKind.DEADLINE_UNREACHABLE);
  });

  it('replaces the last request of a full queue by one with precedence', async () => {
    const limiter = limiterOf(1, 1);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const batch = acquire(limiter, 5, 10_000);
    void acquire(limiter, 1, 10_000);
    const result = await batch;
    expect(result.val).to.have.property('kind', ErrorKind.QUEUE_FULL);
    expect(limiter.queued).to.equal(1);
  });

  it('removes a queued request whose caller disconnects', async () => {
    const limiter = limiterOf(1, 10);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const disconnection = new Cancellation();
    const waiting = acquire(limiter, 1, 10_000, disconnection);
    disconnection.cancel('gone');
    expect((await waiting).val).to.have.property(
      'ran',
      ExecutionStatus.NOT_EXECUTED,
    );
    expect(limiter.queued).to.equal(0);
  });
});

describe('clusterShare', () => {
  it('sums to at most the limit if all nodes know the same demand', () => {
    const demands = fc.array(fc.nat(200), {
      minLength: 1,
      maxLength: 40,
      size: 'max',
    });
    fc.assert(
      fc.property(demands, fc.integer({min: 40, max: 500}), (own, limit) => {
        const total = own.reduce((sum, demand) => sum + demand, 0);
        const shares = own.map(demand =>
          clusterShare(limit, {
            ownRequests: demand,
            peerRequests: total - demand,
            servingNodeCount: own.length,
          }),
        );
        const sum = shares.reduce((all, share) => all + share, 0);
        const minimumShareCount = shares.filter(share => share === 1).length;
        expect(sum).to.be.at.most(limit + minimumShareCount);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
