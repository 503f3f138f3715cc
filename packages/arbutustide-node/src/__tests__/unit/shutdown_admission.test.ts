/**
 * Guards against requests that a node takes so late in a planned stop that it
 * cuts them off at the end of the grace period.
 */
import type {RoutedRequestProgress} from '@arbutustide/routing';

import type {ShutdownDecision} from '../../proxy/shutdown_admission.js';

import {Cancellation, ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ShutdownAdmission} from '../../proxy/shutdown_admission.js';
import {createRequest} from '../relay_fixtures.js';

const BALANCER_REMOVAL_MILLISECONDS = 2_600;
const DRAIN_MILLISECONDS = 7_440;
/** The margin is for the way to the caller. */
const ANSWER_MILLISECONDS = 7_290;
const SHORT_MILLISECONDS = 500;
const LONG_MILLISECONDS = 12_000;
const LONGEST_MILLISECONDS = 2_000;

describe('requests that arrive in a planned stop', () => {
  let clock: ReturnType<typeof install>;
  let longestMilliseconds: number | undefined;
  let decisions: ShutdownDecision[];
  let refusedServices: string[];
  let admission: ShutdownAdmission;

  beforeEach(() => {
    clock = install();
    longestMilliseconds = undefined;
    decisions = [];
    refusedServices = [];
    admission = new ShutdownAdmission({
      balancerRemovalMilliseconds: BALANCER_REMOVAL_MILLISECONDS,
      drainMilliseconds: DRAIN_MILLISECONDS,
      longestMilliseconds: () => longestMilliseconds,
      recordRefused: ({service}) => refusedServices.push(service),
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
    longestMilliseconds = ANSWER_MILLISECONDS - SHORT_MILLISECONDS;
    expect(refuse(LONG_MILLISECONDS)).to.equal(undefined);
  });

  it('allow retries by their number also if they are refused', () => {
    admission.begin();
    refuse(SHORT_MILLISECONDS);
    expect(refusedServices).to.eql([]);
    refuse(LONG_MILLISECONDS);
    refuse(LONG_MILLISECONDS);
    expect(refusedServices).to.have.lengthOf(2);
  });

  it('are refused as not run if they may take longer than the node', () => {
    admission.begin();
    const refusal = refuse(LONG_MILLISECONDS);
    expect(refusal?.kind).to.equal(ErrorKind.NOT_READY);
    expect(refusal?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    longestMilliseconds = ANSWER_MILLISECONDS + 1;
    expect(refuse(LONG_MILLISECONDS)).not.to.equal(undefined);
  });

  it('are refused if a stream that was read late may outlast the node', () => {
    admission.begin();
    const deadlineAtMilliseconds = performance.now() + SHORT_MILLISECONDS;
    const request = createRequest({
      deadlineAtMilliseconds,
      unreadMilliseconds: LONG_MILLISECONDS,
    });
    expect(admission.refuse(request)).not.to.equal(undefined);
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
        leftMilliseconds: ANSWER_MILLISECONDS,
      },
    ]);
  });

  it('are refused once the balancer has removed the node', () => {
    admission.begin();
    clock.tick(BALANCER_REMOVAL_MILLISECONDS);
    expect(refuse(SHORT_MILLISECONDS)).not.to.equal(undefined);
  });
});

describe('requests that wait for a slot in a planned stop', () => {
  let clock: ReturnType<typeof install>;
  let admission: ShutdownAdmission;
  let decisions: ShutdownDecision[];

  beforeEach(() => {
    clock = install();
    decisions = [];
    admission = new ShutdownAdmission({
      balancerRemovalMilliseconds: BALANCER_REMOVAL_MILLISECONDS,
      drainMilliseconds: DRAIN_MILLISECONDS,
      longestMilliseconds: () => LONGEST_MILLISECONDS,
      recordRefused: () => {},
      onDecision: decision => decisions.push(decision),
    });
  });

  afterEach(() => clock.uninstall());

  const waitFor = (changes: Partial<RoutedRequestProgress> = {}) =>
    createProgress({
      request: createRequest({
        deadlineAtMilliseconds: performance.now() + LONG_MILLISECONDS,
      }),
      ...changes,
    });

  it('wait on until what is left does not suffice any more', () => {
    const progress = waitFor();
    expect(admission.refuseWaiting(progress)).to.equal(undefined);
    admission.begin();
    clock.tick(ANSWER_MILLISECONDS - LONGEST_MILLISECONDS);
    expect(admission.refuseWaiting(progress)).to.equal(undefined);
    clock.tick(1);
    const refusal = admission.refuseWaiting(progress);
    expect(refusal?.kind).to.equal(ErrorKind.NOT_READY);
    expect(refusal?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(decisions.map(({isTaken}) => isTaken)).to.deep.equal([true, false]);
  });

  it('are refused if they would get their slot too late', () => {
    admission.begin();
    const longestWait = ANSWER_MILLISECONDS - LONGEST_MILLISECONDS;
    const progress = waitFor();
    expect(admission.refuseWaiting(progress, longestWait)).to.equal(undefined);
    expect(admission.refuseWaiting(progress, longestWait + 1)).not.to.equal(
      undefined,
    );
  });

  it('are not called unrun if an upstream may have run them', () => {
    admission.begin();
    clock.tick(ANSWER_MILLISECONDS);
    const refusal = admission.refuseWaiting(waitFor({mayHaveRun: true}));
    expect(refusal?.ran).to.equal(ExecutionStatus.POSSIBLY_EXECUTED);
  });

  it('go on if their streams have begun, while there is time', () => {
    admission.begin();
    const progress = waitFor({hasStreamBegun: true, mayHaveRun: true});
    clock.tick(ANSWER_MILLISECONDS - SHORT_MILLISECONDS);
    expect(admission.refuseWaiting(progress)).to.equal(undefined);
    clock.tick(SHORT_MILLISECONDS);
    expect(admission.refuseWaiting(progress)).not.to.equal(undefined);
  });
});

function createProgress(
  changes: Partial<RoutedRequestProgress>,
): RoutedRequestProgress {
  return {
    request: createRequest(),
    cancellation: new Cancellation(),
    fingerprint: 'fingerprint',
    triedUpstreams: new Set(),
    triedPeers: new Set(),
    isRelayed: false,
    attempts: 0,
    mayHaveRun: false,
    hasStreamBegun: false,
    isAnsweredWhole: false,
    origin: undefined,
    lastDeliveryAtMilliseconds: performance.now(),
    ...changes,
  };
}
