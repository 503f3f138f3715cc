// Guards against requests that leave the failure domain unnoticed by operators.
import type {RequestDecision} from '@arbutustide/routing';

import {
  DecisionStep,
  ProxyUpstreamDirectory,
  UpstreamState,
} from '@arbutustide/routing';
import {NodeMetrics} from '@arbutustide/telemetry';
import {expect} from 'chai';

import {
  createLeavingRecorder,
  recordPlacement,
} from '../../proxy/leaving_metrics.js';

function createDecision(
  upstream: string,
  step = DecisionStep.PLACED,
): RequestDecision {
  return {
    requestId: 'request',
    step,
    route: 'route',
    service: 'service',
    configurationVersion: 1,
    upstream,
  };
}

describe('metrics of leaving the failure domain', () => {
  it('count placements and show the last decision', async () => {
    const metrics = new NodeMetrics();
    const directory = new ProxyUpstreamDirectory();
    for (const failureDomain of ['near', 'far'])
      directory.upsert({
        id: `in-${failureDomain}`,
        service: 'service',
        address: '10.0.0.1:80',
        failureDomain,
        softwareVersion: 'v1',
        state: UpstreamState.READY,
        slots: 4,
        startedAt: 1,
        models: [],
        modelsInMemory: [],
        modelsOnDisk: [],
      });
    for (const upstream of ['in-near', 'in-near', 'in-far', 'gone'])
      recordPlacement(createDecision(upstream), metrics, directory, 'near');
    const ended = createDecision('in-far', DecisionStep.ENDED);
    recordPlacement(ended, metrics, directory, 'near');
    createLeavingRecorder(metrics, 'service')(
      {penaltyShare: 0.2, leavingShare: 0.25},
      {
        local: undefined,
        elsewhere: undefined,
        extraPathMilliseconds: 10,
        requestMilliseconds: 500,
        priceShare: 0.15,
      },
    );
    const text = await metrics.registry.metrics();
    expect(text).to.include(
      'arbutustide_placements_total{entry="service",place="local"} 2',
    );
    expect(text).to.include(
      'arbutustide_placements_total{entry="service",place="elsewhere"} 1',
    );
    expect(text).to.include('arbutustide_leaving_share{entry="service"} 0.25');
    expect(text).to.include(
      'arbutustide_extra_path_seconds{entry="service"} 0.01',
    );
  });
});
