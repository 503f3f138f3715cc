import {expect} from 'chai';

import {
  ANSWER_TABLE,
  ErrorKind,
  ExecutionStatus,
  createRefusalAnswer,
  RefusalError,
  RetryAdvice,
} from '../../index.js';

/**
 * Statuses from which a caller concludes that the request was not run. If the
 * request may have run, such a status makes the caller resend it, and it runs
 * twice.
 */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const KINDS = Object.values(ErrorKind);

describe('answer table', () => {
  for (const kind of KINDS) {
    it(`answers ${kind} with a status, whether the request ran, and retry advice`, () => {
      const refusal = new RefusalError(kind, 'why');
      const answer = createRefusalAnswer(refusal, 'request-1');
      expect(answer.status).to.equal(ANSWER_TABLE[kind].status);
      expect(answer.status).to.be.within(400, 599);
      expect(answer.body.error.code).to.equal(kind);
      expect(answer.body.error.request_id).to.equal('request-1');
      expect(Object.values(ExecutionStatus)).to.include(answer.body.error.ran);
      expect(Object.values(RetryAdvice)).to.include(answer.body.error.retry);
    });

    it(`sends Retry-After for ${kind} if its advice is to retry later`, () => {
      const {retryAdvice: advice, retryAfterMilliseconds} = ANSWER_TABLE[kind];
      if (advice !== RetryAdvice.RETRY_LATER) return;
      expect(retryAfterMilliseconds).to.be.greaterThan(0);
      const answer = createRefusalAnswer(new RefusalError(kind, 'why'), '');
      expect(Number(answer.headers['retry-after'])).to.be.at.least(1);
    });
  }

  it('answers a not-run status only to requests that did not run', () => {
    for (const kind of KINDS) {
      for (const ran of [
        ExecutionStatus.POSSIBLY_EXECUTED,
        ExecutionStatus.EXECUTED,
      ]) {
        const refusal = new RefusalError(kind, 'why', {ran});
        const {status, headers} = createRefusalAnswer(refusal, '');
        expect(NOT_RUN_STATUSES, kind).to.not.include(status);
        if (status === 502) expect(headers).to.not.have.property('retry-after');
      }
    }
  });

  it('never advises to retry later what may have run', () => {
    for (const kind of KINDS) {
      const {ran, retryAdvice: advice} = ANSWER_TABLE[kind];
      if (ran === ExecutionStatus.NOT_EXECUTED) continue;
      expect(advice, kind).to.not.equal(RetryAdvice.RETRY_LATER);
    }
  });
});
