/**
 * Guards against requests that a node takes so late in a planned stop that it
 * cuts them off at the end of the grace period.
 */
import type {ShutdownDecision} from '../../proxy/shutdown_admission.js';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ShutdownAdmission} from '../../proxy/shutdown_admission.js';
import {createRequest} from '../relay_fixtures.js';

const BALANCER_REMOVAL_MILLISECONDS = 2_600;
const DRAIN_MILLISECONDS = 7_440;
const SHORT_MILLISECONDS = 500;
const LONG_MILLISECONDS = 12_000;

describe('requests that arrive in a planned stop', () => {
  let clock: ReturnType<typeof install>;
  let longestMilliseconds: number | undefined;
  let decisions: ShutdownDecision[];
  let admission: ShutdownAdmission;

  beforeEach(() => {
    clock = install();
    longestMilliseconds = undefined;
    decisions = [];
    admission = new ShutdownAdmission({
      balancerRemovalMilliseconds: BALANCER_REMOVAL_MILLISECONDS,
      drainMilliseconds: DRAIN_MILLISECONDS,
      longestMilliseconds: () => longestMilliseconds,
      onDecision: decision => decisions.push(decision),
    });
  });

  afterEach(() => clock.uninstall());

  const refuse = (allowedMilliseconds: number) =>
    admission.refuse(
      createRequest({
        deadlineAtMilliseconds: performance.now() + allowedMilliseconds,
      }),
    );

  it('are taken before it begins, however long they may take', () => {
    expect(refuse(LONG_MILLISECONDS)).to.equal(undefined);
  });

  it('are taken while the balancer may send them, if they can end', () => {
    admission.begin();
    expect(refuse(SHORT_MILLISECONDS)).to.equal(undefined);
    longestMilliseconds = DRAIN_MILLISECONDS - SHORT_MILLISECONDS;
    expect(refuse(LONG_MILLISECONDS)).to.equal(undefined);
  });

  it('are refused as not run if they may take longer than the node', () => {
    admission.begin();
    const refusal = refuse(LONG_MILLISECONDS);
    expect(refusal?.kind).to.equal(ErrorKind.NOT_READY);
    expect(refusal?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    longestMilliseconds = DRAIN_MILLISECONDS + 1;
    expect(refuse(LONG_MILLISECONDS)).not.to.equal(undefined);
  });

  it('are recorded with what they may take and what is left', () => {
    admission.begin();
    longestMilliseconds = 1_000;
    refuse(LONG_MILLISECONDS);
    expect(decisions).to.deep.equal([
      {
        requestId: 'request-1',
        route: 'route',
        model: 'model',
        isTaken: true,
        expectedMilliseconds: 1_000,
        leftMilliseconds: DRAIN_MILLISECONDS,
      },
    ]);
  });

  it('are refused once the balancer has removed the node', () => {
    admission.begin();
    clock.tick(BALANCER_REMOVAL_MILLISECONDS);
    expect(refuse(SHORT_MILLISECONDS)).not.to.equal(undefined);
  });
});
