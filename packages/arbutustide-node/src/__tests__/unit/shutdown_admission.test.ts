/**
 * Guards against requests that a node takes so late in a planned stop that it
 * cuts them off at the end of the grace period.
 */
import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ShutdownAdmission} from '../../proxy/shutdown_admission.js';

const BALANCER_REMOVAL_MILLISECONDS = 2_600;
const DRAIN_MILLISECONDS = 7_440;
const SHORT_MILLISECONDS = 500;
const LONG_MILLISECONDS = 12_000;
const MEAN_MILLISECONDS = 1_000;

describe('requests that arrive in a planned stop', () => {
  let clock: ReturnType<typeof install>;
  let meanMilliseconds: number | undefined;
  let admission: ShutdownAdmission;

  beforeEach(() => {
    clock = install();
    meanMilliseconds = undefined;
    admission = new ShutdownAdmission({
      balancerRemovalMilliseconds: BALANCER_REMOVAL_MILLISECONDS,
      drainMilliseconds: DRAIN_MILLISECONDS,
      meanMilliseconds: () => meanMilliseconds,
    });
  });

  afterEach(() => clock.uninstall());

  const refuse = (allowedMilliseconds: number) =>
    admission.refuse({
      service: 'service',
      deadlineAtMilliseconds: performance.now() + allowedMilliseconds,
    });

  it('are taken before it begins, however long they may take', () => {
    expect(refuse(LONG_MILLISECONDS)).to.equal(undefined);
  });

  it('are taken while the balancer may send them, if they can end', () => {
    admission.begin();
    expect(refuse(SHORT_MILLISECONDS)).to.equal(undefined);
    meanMilliseconds = MEAN_MILLISECONDS;
    expect(refuse(LONG_MILLISECONDS)).to.equal(undefined);
  });

  it('are refused as not run if they may take longer than the node', () => {
    admission.begin();
    const refusal = refuse(LONG_MILLISECONDS);
    expect(refusal?.kind).to.equal(ErrorKind.NOT_READY);
    expect(refusal?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    meanMilliseconds = DRAIN_MILLISECONDS;
    expect(refuse(LONG_MILLISECONDS)).not.to.equal(undefined);
  });

  it('are refused once the balancer has removed the node', () => {
    admission.begin();
    clock.tick(BALANCER_REMOVAL_MILLISECONDS);
    expect(refuse(SHORT_MILLISECONDS)).not.to.equal(undefined);
  });
});
