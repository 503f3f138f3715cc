// Guards against sound requests that are quarantined because the evidence of a
// crash is counted after their whole answer, on several nodes.
import type {RoutedRequestProgress} from '../../proxy/routed_request_progress.js';
import type {UpstreamTargetOptions} from '../../proxy/upstream_target.js';

import {Cancellation} from '@arbutustide/errors';
import {expect} from 'chai';

import {UpstreamTarget} from '../../proxy/upstream_target.js';
import {testRequest, testUpstream} from './proxy_fixtures.js';

describe('stream that broke at an upstream', () => {
  let crashes: number;
  let confirm: () => void;
  let progress: RoutedRequestProgress;
  let target: UpstreamTarget;

  beforeEach(() => {
    crashes = 0;
    progress = {
      request: testRequest(),
      cancellation: new Cancellation(),
      fingerprint: 'fingerprint',
      triedUpstreams: new Set(),
      triedPeers: new Set(),
      isRelayed: false,
      attempts: 1,
      mayHaveRun: true,
      hasStreamBegun: false,
      isAnsweredWhole: false,
      origin: undefined,
      lastDeliveryAtMilliseconds: 0,
    };
    const upstream = testUpstream('one');
    const options = {
      poisonRequestDetector: {recordCrash: () => (crashes += 1)},
      paths: {
        whenOthersAnswer: (_upstream: unknown, action: () => void) => {
          confirm = action;
        },
      },
    };
    target = new UpstreamTarget(
      upstream,
      upstream.admission.begin(),
      options as unknown as UpstreamTargetOptions,
    );
    target.recordBrokenStream(progress, false);
  });

  it('counts as a crash once the path of this node has proved to be sound', () => {
    expect(crashes).to.equal(0);
    confirm();
    expect(crashes).to.equal(1);
  });

  it('counts as none if it was answered whole meanwhile', () => {
    progress.isAnsweredWhole = true;
    confirm();
    expect(crashes).to.equal(0);
  });
});
