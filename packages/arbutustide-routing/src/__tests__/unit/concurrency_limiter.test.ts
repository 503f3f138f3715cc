import {Cancellation, ErrorKind, Ran} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {ConcurrencyLimiter, clusterShare} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;
const SERVICE_MILLISECONDS = 100;

describe('admission gate', () => {
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
      disconnection: disconnection,
    });
  }

  it('lets the more urgent class in first', async () => {
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

  it('refuses at once what cannot meet its deadline, as not run', async () => {
    const limiter = limiterOf(1, 10);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const refused = await acquire(limiter, 1, SERVICE_MILLISECONDS);
    expect(refused.val).to.have.property(
      'kind',
      ErrorKind.DEADLINE_UNREACHABLE,
    );
    expect(refused.val).to.have.property('ran', Ran.NO);
  });

  it('refuses a waiter as soon as its deadline is out of reach', async () => {
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

  it('gives the last place in a full queue to a more urgent class', async () => {
    const limiter = limiterOf(1, 1);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const batch = acquire(limiter, 5, 10_000);
    void acquire(limiter, 1, 10_000);
    const result = await batch;
    expect(result.val).to.have.property('kind', ErrorKind.QUEUE_FULL);
    expect(limiter.queued).to.equal(1);
  });

  it('forgets a waiter whose caller goes away', async () => {
    const limiter = limiterOf(1, 10);
    (await acquire(limiter, 1, 10_000)).unwrap();
    const disconnection = new Cancellation();
    const waiting = acquire(limiter, 1, 10_000, disconnection);
    disconnection.cancel('gone');
    expect((await waiting).val).to.have.property('ran', Ran.NO);
    expect(limiter.queued).to.equal(0);
  });
});

describe('fleet share', () => {
  it('adds up to no more than the limit when all know the same', () => {
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
