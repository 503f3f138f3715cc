/**
 * Guards against an issuer that grants more than its part of a quota, however
 * nodes use, hold or return what they get, and against waiting times that do
 * not follow from the rate.
 */
import type {LedgerTerms} from '../../quota_ledger.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {QuotaLedger} from '../../quota_ledger.js';
import {IMMEDIATE_MILLISECONDS} from '../../quota_limits.js';

const TERMS: LedgerTerms = {capacity: 2_000, unitsPerMillisecond: 1};
const WINDOW_MILLISECONDS = 8_000;

/** Units that a node may use between two times. */
interface Usable {
  readonly node: string;
  units: number;
  readonly from: number;
  readonly to: number;
}

describe('ledger of an issuer', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  function fullLedger(): QuotaLedger {
    const ledger = new QuotaLedger(performance.now());
    clock.tick(10_000);
    return ledger;
  }

  function claim(ledger: QuotaLedger, needed: number, wanted = needed) {
    return ledger.claim('node', {needed, wanted, returned: 0}, TERMS);
  }

  it('begins empty and fills at the rate', () => {
    const ledger = new QuotaLedger(performance.now());
    const {granted, retryAfterMilliseconds} = claim(ledger, 500);
    expect(granted).to.equal(0);
    expect(retryAfterMilliseconds).to.be.closeTo(500, 1);
    clock.tick(500);
    expect(claim(ledger, 500).granted).to.equal(500);
    expect(claim(ledger, 1).granted).to.equal(0);
  });

  it('issues nothing before the time from which it fills', () => {
    const ledger = new QuotaLedger(performance.now() + 2_000);
    clock.tick(1_900);
    const {granted, retryAfterMilliseconds} = claim(ledger, 500);
    expect(granted).to.equal(0);
    expect(retryAfterMilliseconds).to.be.closeTo(600, 1);
  });

  it('tells each refused request a later time', () => {
    const ledger = new QuotaLedger(performance.now());
    const times = [0, 1, 2].map(
      () => claim(ledger, 500).retryAfterMilliseconds,
    );
    expect(times[0]).to.be.closeTo(500, 1);
    expect(times[1]).to.be.closeTo(1_000, 1);
    expect(times[2]).to.be.closeTo(1_500, 1);
  });

  it('leases ahead for longer while more is left, and keeps a reserve', () => {
    const ledger = fullLedger();
    const first = claim(ledger, 0, 100);
    const second = claim(ledger, 0, 2_000);
    expect(first.granted).to.equal(100);
    expect(second.granted).to.be.below(1_000);
    expect(first.validMilliseconds).to.be.above(second.validMilliseconds);
    for (let more = 0; more < 20; more += 1) claim(ledger, 0, 2_000);
    expect(claim(ledger, 500).granted).to.equal(500);
  });

  it('does not fill up again while what it leased may still be used', () => {
    const ledger = fullLedger();
    const {granted, validMilliseconds} = claim(ledger, 0, 700);
    clock.tick(validMilliseconds - 1);
    expect(claim(ledger, TERMS.capacity - granted + 1).granted).to.equal(0);
    expect(claim(ledger, TERMS.capacity - granted).granted).to.be.above(0);
  });

  it('grants what it has if no issuer alone can grant a request', () => {
    const ledger = fullLedger();
    expect(claim(ledger, 3_000).granted).to.equal(2_000);
  });

  it('issues again what a node returns, once', () => {
    const ledger = fullLedger();
    expect(claim(ledger, 2_000).granted).to.equal(2_000);
    const returned = 700;
    ledger.claim('other', {needed: 0, wanted: 0, returned}, TERMS);
    expect(claim(ledger, 700).granted).to.equal(0);
    ledger.claim('node', {needed: 0, wanted: 0, returned}, TERMS);
    expect(claim(ledger, 700).granted).to.equal(700);
  });

  it('never lets more be used in a window than its capacity and the rate', () => {
    const step = fc.record({
      pause: fc.oneof(
        fc.integer({min: 0, max: 50}),
        fc.integer({min: 0, max: 2_000}),
      ),
      node: fc.constantFrom('a', 'b', 'c'),
      needed: fc.integer({min: 0, max: 700}),
      ahead: fc.integer({min: 0, max: 3_000}),
      returnedShare: fc.double({min: 0, max: 1, noNaN: true}),
      capacity: fc.constantFrom(2_000, 2_000, 2_000, 500),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 400, size: 'max'}), steps => {
        const usable: Usable[] = [];
        const ledger = new QuotaLedger(performance.now());
        const beganAt = performance.now();
        for (const {pause, node, needed, ahead, ...others} of steps) {
          clock.tick(pause);
          const now = performance.now();
          const {returnedShare, capacity} = others;
          let returned = 0;
          for (const lease of usable) {
            if (lease.node !== node || lease.to <= now) continue;
            returned += lease.units * returnedShare;
            lease.units *= 1 - returnedShare;
          }
          const grant = ledger.claim(
            node,
            {needed, wanted: needed + ahead, returned},
            {...TERMS, capacity},
          );
          const immediate = Math.min(needed, grant.granted);
          usable.push(
            {
              node,
              units: immediate,
              from: now,
              to: now + IMMEDIATE_MILLISECONDS,
            },
            {
              node,
              units: grant.granted - immediate,
              from: now,
              to: now + grant.validMilliseconds,
            },
          );
        }
        const end = performance.now();
        for (let start = beganAt; start <= end; start += 100) {
          const used = usable
            .filter(
              ({from, to}) => to > start && from < start + WINDOW_MILLISECONDS,
            )
            .reduce((sum, {units}) => sum + units, 0);
          expect(used).to.be.at.most(
            TERMS.capacity +
              WINDOW_MILLISECONDS * TERMS.unitsPerMillisecond +
              1,
          );
        }
      }),
      {numRuns: 100},
    );
  });
});
