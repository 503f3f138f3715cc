import {expect} from 'chai';

import {InputMonitor} from '../../input_monitor.js';
import {SimulatedLoop} from './simulated_loop.js';

describe('InputMonitor', () => {
  let loop: SimulatedLoop;
  let monitor: InputMonitor;
  /** Lengths of the turns that the monitor has reported. */
  let turns: number[];

  beforeEach(() => {
    loop = new SimulatedLoop();
    monitor = new InputMonitor(loop);
    turns = [];
    monitor.onTurn(({activeMilliseconds}) => turns.push(activeMilliseconds));
  });

  afterEach(() => loop.uninstall());

  it('takes input for which the loop waited for new', () => {
    loop.poll();
    loop.run(50);
    loop.endPoll();
    loop.poll(400);
    expect(monitor.arrivedAfterMilliseconds).to.equal(450);
  });

  it('takes input after a long turn for as old as the poll before it', () => {
    loop.poll(100);
    loop.run(20);
    loop.endPoll();
    loop.run(300);
    loop.poll();
    loop.run(10);
    expect(monitor.arrivedAfterMilliseconds).to.equal(100);
    loop.endPoll();
    loop.poll();
    expect(monitor.arrivedAfterMilliseconds).to.equal(120);
  });

  it('takes a connection behind others for as old as the first of them', () => {
    loop.poll(100);
    loop.endPoll();
    for (let turn = 0; turn < 3; turn += 1) {
      loop.run(20);
      loop.poll();
      expect(monitor.recordConnection()).to.equal(100);
      loop.endPoll();
    }
    loop.poll();
    loop.endPoll();
    loop.poll();
    expect(monitor.recordConnection()).to.equal(160);
  });

  it('reports the time in which a turn read no input', () => {
    loop.poll(100);
    loop.endPoll();
    loop.run(300);
    loop.poll(70);
    loop.run(5);
    loop.endPoll();
    expect(turns).to.eql([0, 305]);
  });
});
