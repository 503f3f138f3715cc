/**
 * Guards against retries beyond the budget of all nodes, when nodes lend theirs
 * to each other.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {ClusterRetryBudget} from '../../proxy/cluster_retry_budget.js';

const WINDOW_MILLISECONDS = 10_000;
const ALLOWANCE = 50;
const RATIO = 0.2;
const LOAN_MILLISECONDS = 1_000;
const BUCKET_MILLISECONDS = WINDOW_MILLISECONDS / 20;
const SEQUENCES = 40;
const STEPS = 400;

describe('loans of retries', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  const createBudget = (nodeCount = 2) =>
    new ClusterRetryBudget({
      ratio: RATIO,
      allowance: ALLOWANCE,
      windowMilliseconds: WINDOW_MILLISECONDS,
      nodeCount: () => nodeCount,
    });

  function consumeAll(budget: ClusterRetryBudget): number {
    let consumed = 0;
    while (budget.tryConsume()) consumed += 1;
    return consumed;
  }

  it('take from the lender what they give to the borrower', () => {
    const lender = createBudget();
    const borrower = createBudget();
    const own = consumeAll(createBudget());
    expect(consumeAll(borrower)).to.equal(own);
    const lent = lender.lend(4);
    expect(lent).to.equal(4);
    borrower.borrow(lent);
    expect(consumeAll(borrower)).to.equal(lent);
    expect(consumeAll(lender)).to.equal(own - lent);
  });

  it('leave the lender at least as much as they take', () => {
    const lender = createBudget();
    const own = consumeAll(createBudget());
    const lent = lender.lend(1_000);
    expect(lent).to.be.greaterThan(0);
    expect(consumeAll(lender)).to.be.least(lent);
    expect(own).to.be.least(2 * lent);
  });

  it('are empty if the lender has nothing left', () => {
    const lender = createBudget();
    consumeAll(lender);
    expect(lender.lend(4)).to.equal(0);
  });

  it('lapse unless they are used soon', () => {
    const borrower = createBudget();
    consumeAll(borrower);
    borrower.borrow(4);
    clock.tick(LOAN_MILLISECONDS);
    expect(borrower.tryConsume()).to.equal(false);
  });

  it('keep all nodes within the budget in random sequences', () => {
    // The lender's window has moved on by as much when a loan is used last.
    const requestMilliseconds =
      WINDOW_MILLISECONDS + LOAN_MILLISECONDS + BUCKET_MILLISECONDS;
    for (let seed = 0; seed < SEQUENCES; seed += 1) {
      const random = seedrandom(`loans ${seed}`);
      const nodeCount = 2 + Math.floor(random() * 6);
      const nodes = Array.from({length: nodeCount}, () =>
        createBudget(nodeCount),
      );
      const pick = () => nodes[Math.floor(random() * nodeCount)];
      const requests: number[] = [];
      const retries: number[] = [];
      for (let step = 0; step < STEPS; step += 1) {
        clock.tick(Math.floor(random() * 100));
        const now = performance.now();
        const choice = random();
        if (choice < 0.4) {
          pick().recordRequest();
          requests.push(now);
        } else if (choice < 0.8) {
          if (pick().tryConsume()) retries.push(now);
        } else {
          pick().borrow(pick().lend(4));
        }
        const countSince = (times: readonly number[], since: number) =>
          times.filter(at => at > since).length;
        const allowed =
          RATIO * countSince(requests, now - requestMilliseconds) + ALLOWANCE;
        const used = countSince(retries, now - WINDOW_MILLISECONDS);
        expect(used, `seed ${seed}`).to.be.most(allowed);
      }
    }
  });
});
