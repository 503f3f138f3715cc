/** Guards against a log that grows with each request that is refused. */
import {NodeMetrics} from '@arbutustide/telemetry';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {OverloadRecorder} from '../../proxy/overload/overload_recorder.js';

describe('OverloadRecorder', () => {
  let clock: ReturnType<typeof install>;
  let metrics: NodeMetrics;
  let recorder: OverloadRecorder;
  let lines: unknown[];

  beforeEach(() => {
    clock = install();
    metrics = new NodeMetrics();
    lines = [];
    const warn = (fields: unknown) => lines.push(fields);
    recorder = new OverloadRecorder({
      logger: {warn} as never,
      metrics,
      countWaiting: () => 7,
    });
  });

  afterEach(() => clock.uninstall());

  it('logs one line a second with what was refused since', () => {
    for (let index = 0; index < 300; index += 1) {
      recorder.recordRefusal(index % 3 === 0 ? 'lookup' : 'draft');
      clock.tick(10);
    }
    clock.tick(10_000);
    expect(lines.length).to.equal(3);
    expect(lines[0]).to.include({refused: 100, waiting: 7});
  });

  it('names a bounded number of kinds and counts all', async () => {
    for (let index = 0; index < 100; index += 1)
      recorder.recordRefusal(`route-${index}`);
    clock.tick(1_000);
    const [line] = lines as {refused: number; refusedByKind: object}[];
    expect(line.refused).to.equal(100);
    expect(Object.keys(line.refusedByKind).length).to.equal(16);
    expect((await metrics.arrivalsRefused.get()).values.length).to.equal(100);
  });

  it('logs the longest wait though nothing is refused', () => {
    for (const milliseconds of [300, 800, 10])
      recorder.recordWait(milliseconds);
    clock.tick(1_000);
    expect(lines).to.eql([
      {waitMilliseconds: 800, waiting: 7, refused: 0, refusedByKind: {}},
    ]);
  });

  it('logs nothing while waits are short', () => {
    for (let index = 0; index < 100; index += 1) recorder.recordWait(20);
    clock.tick(10_000);
    expect(lines).to.eql([]);
  });
});
