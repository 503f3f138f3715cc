import type {Clock} from '@sinonjs/fake-timers';

import {ErrorKind, ExecutionStatus, readClocks} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ConfigurationFreshness} from '../../configuration_freshness.js';

const BOUND_MILLISECONDS = 5_000;

/**
 * Guards against requests that run under a key which was revoked longer ago than
 * the bound, and against refusals while keys are known to be valid.
 */
describe('ConfigurationFreshness', () => {
  let clock: Clock;
  let freshness: ConfigurationFreshness;

  beforeEach(() => {
    clock = install({now: 1_000_000});
    freshness = new ConfigurationFreshness({
      isRequired: true,
      boundMilliseconds: BOUND_MILLISECONDS,
    });
  });

  afterEach(() => clock.uninstall());

  /** The wall clock advances, as after a suspension or by a step. */
  function stepWallClock(milliseconds: number): void {
    clock.setSystemTime(Date.now() + milliseconds);
  }

  it('judges no key before the first confirmation', () => {
    expect(freshness.refuseIfUnconfirmed()).to.include({
      kind: ErrorKind.CONFIGURATION_UNCONFIRMED,
      ran: ExecutionStatus.NOT_EXECUTED,
    });
    freshness.confirm(readClocks());
    expect(freshness.refuseIfUnconfirmed()).to.equal(undefined);
  });

  it('counts the age from when the call was sent, not answered', () => {
    const sentAt = readClocks();
    clock.tick(3_000);
    freshness.confirm(sentAt);
    expect(freshness.ageMilliseconds).to.equal(3_000);
    clock.tick(1_499);
    expect(freshness.isConfirmed).to.equal(true);
    clock.tick(1);
    expect(freshness.isConfirmed).to.equal(false);
  });

  it("adds the age of a peer's knowledge", () => {
    freshness.confirm(readClocks(), 4_000);
    clock.tick(499);
    expect(freshness.isConfirmed).to.equal(true);
    clock.tick(1);
    expect(freshness.isConfirmed).to.equal(false);
  });

  it('never grows older by a confirmation, nor younger by a malformed one', () => {
    const sentAt = readClocks();
    clock.tick(1_000);
    freshness.confirm(readClocks());
    freshness.confirm(sentAt);
    freshness.confirm(readClocks(), 3_000);
    freshness.confirm(readClocks(), -5_000);
    freshness.confirm(readClocks(), NaN);
    clock.tick(500);
    expect(freshness.ageMilliseconds).to.equal(500);
  });

  for (const milliseconds of [60_000, 300, -300, -60_000]) {
    it(`counts nothing that was asked before the wall clock moved by ${milliseconds} ms`, () => {
      freshness.confirm(readClocks());
      const sentBefore = readClocks();
      stepWallClock(milliseconds);
      expect(freshness.isConfirmed).to.equal(false);
      freshness.confirm(sentBefore);
      expect(freshness.isConfirmed).to.equal(false);
      freshness.confirm(readClocks());
      expect(freshness.isConfirmed).to.equal(true);
    });
  }

  it('ignores a late answer to a call sent before an unnoticed suspension', () => {
    const sentBefore = readClocks();
    stepWallClock(60_000);
    freshness.confirm(sentBefore);
    expect(freshness.isConfirmed).to.equal(false);
  });

  it('does not forget a suspension when the wall clock is set back', () => {
    freshness.confirm(readClocks());
    const sentBefore = readClocks();
    clock.tick(1);
    stepWallClock(10_000);
    expect(freshness.isConfirmed).to.equal(false);
    stepWallClock(-10_000);
    freshness.confirm(sentBefore);
    expect(freshness.isConfirmed).to.equal(false);
  });

  it('adds up suspensions that are each too short to be noticed', () => {
    freshness.confirm(readClocks());
    for (let count = 0; count < 3; count += 1) {
      stepWallClock(100);
      expect(freshness.isConfirmed).to.equal(count < 2);
    }
  });

  it('tells of each refusal, and of none while nothing is required', () => {
    let refusals = 0;
    freshness.onRefusal(() => (refusals += 1));
    freshness.refuseIfUnconfirmed();
    expect(refusals).to.equal(1);
    const open = new ConfigurationFreshness({
      isRequired: false,
      boundMilliseconds: BOUND_MILLISECONDS,
    });
    expect(open.refuseIfUnconfirmed()).to.equal(undefined);
  });
});
