// Guards against estimates that forget a fresh report, that use an old one for
// ever, or that miss this node's own requests.
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {learnWorkTimes} from '../../proxy/balance/learnt_work_time.js';
import {LoadEstimate} from '../../proxy/balance/load_estimate.js';
import {WorkTime} from '../../proxy/balance/work_time.js';
import {testUpstream} from './proxy_fixtures.js';

describe('estimates of an upstream between its reports', () => {
  let clock: ReturnType<typeof install>;
  beforeEach(() => {
    clock = install({toFake: ['performance']});
  });
  afterEach(() => clock.uninstall());

  it('moves from the report to what the other nodes have told', () => {
    const estimate = new LoadEstimate();
    expect(estimate.inFlight({own: 2, peers: 1})).to.equal(3);
    estimate.record({running: 8, waiting: 2, slots: 12}, 2);
    expect(estimate.inFlight({own: 2, peers: 1})).to.equal(10);
    expect(estimate.inFlight({own: 4, peers: 1})).to.equal(12);
    clock.tick(1_000);
    expect(estimate.inFlight({own: 2, peers: 1})).to.be.within(4, 9);
    clock.tick(30_000);
    expect(estimate.inFlight({own: 2, peers: 1})).to.be.closeTo(3, 0.01);
  });

  it('counts its own requests whatever the upstream tells', () => {
    const estimate = new LoadEstimate();
    estimate.record({running: 0, waiting: 0, slots: 12}, 5);
    expect(estimate.inFlight({own: 5, peers: 0})).to.equal(5);
  });

  it('lets the reported work time age out', () => {
    const workTime = new WorkTime();
    expect(workTime.factor).to.equal(undefined);
    workTime.record(300);
    expect(workTime.factor).to.equal(3);
    clock.tick(60_000);
    expect(workTime.factor).to.be.closeTo(1, 0.01);
  });

  it('evens out work times that change many times a second', () => {
    const workTime = new WorkTime();
    for (let index = 0; index < 200; index += 1) {
      workTime.record(index % 2 === 0 ? 50 : 150);
      clock.tick(50);
    }
    clock.tick(1_500);
    expect(workTime.factor).to.be.within(0.9, 1.1);
  });

  it('learns the work time of an upstream that does not tell it', () => {
    const upstreams = ['a', 'b', 'c', 'slow'].map(id => testUpstream(id));
    for (let index = 0; index < 10; index += 1)
      for (const {id, responseTime} of upstreams)
        responseTime.record(id === 'slow' ? 200 : 70 + index);
    const factors = upstreams.map(learnWorkTimes(upstreams));
    expect(factors.slice(0, 3)).to.eql([1, 1, 1]);
    expect(factors[3]).to.be.within(2, 3);
    clock.tick(10_000);
    expect(upstreams.map(learnWorkTimes(upstreams))).to.eql([1, 1, 1, 1]);
  });

  it('takes no notice of a few responses', () => {
    const upstreams = ['a', 'b', 'c', 'slow'].map(id => testUpstream(id));
    for (const {id, responseTime} of upstreams)
      responseTime.record(id === 'slow' ? 500 : 70);
    expect(upstreams.map(learnWorkTimes(upstreams))).to.eql([1, 1, 1, 1]);
  });
});
