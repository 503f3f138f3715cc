// Guards against logs that callers outside the limits can fill.
import {NodeMetrics} from '@arbutustide/telemetry';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  BoundName,
  BoundRecorder,
  ServerName,
} from '../../bounds/bound_recorder.js';

const REFUSALS = 1_000;
const LONG_MILLISECONDS = 60_000;

describe('record of callers that reach a bound', () => {
  it('counts each and logs few', async () => {
    const clock = install();
    const metrics = new NodeMetrics();
    const lines: unknown[] = [];
    const recorder = new BoundRecorder(metrics, {
      warn: (fields: unknown) => lines.push(fields),
    } as never);
    for (let refusal = 0; refusal < REFUSALS; refusal += 1)
      recorder.record(ServerName.CALLERS, BoundName.BODY_BYTES);
    clock.tick(LONG_MILLISECONDS);
    recorder.record(ServerName.CALLERS, BoundName.BODY_BYTES);
    clock.uninstall();
    const labels = {
      server: ServerName.CALLERS,
      bound: BoundName.BODY_BYTES,
    };
    expect(lines).to.eql([
      {...labels, count: 1},
      {...labels, count: REFUSALS},
    ]);
    const {values} = await metrics.boundsReached.get();
    expect(values).to.eql([{labels, value: REFUSALS + 1}]);
  });
});
