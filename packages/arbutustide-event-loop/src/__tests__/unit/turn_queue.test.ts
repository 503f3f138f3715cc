import {expect} from 'chai';

import {InputMonitor} from '../../input_monitor.js';
import {TurnQueue} from '../../turn_queue.js';
import {SimulatedLoop} from './simulated_loop.js';

describe('TurnQueue', () => {
  let loop: SimulatedLoop;
  let monitor: InputMonitor;
  let queue: TurnQueue;
  /** Tasks that went on, in order. */
  let done: string[];

  beforeEach(() => {
    loop = new SimulatedLoop();
    monitor = new InputMonitor(loop);
    queue = new TurnQueue(monitor, loop);
    done = [];
  });

  afterEach(() => loop.uninstall());

  function add(name: string, isWanted = () => true, key?: object): void {
    void queue.nextTurn(isWanted, key).then(() => done.push(name));
  }

  /** Runs one turn, whose poll reads input for a time. */
  async function turn(milliseconds = 1, hasAccepted = false): Promise<void> {
    loop.poll();
    if (hasAccepted) monitor.recordConnection();
    loop.run(milliseconds);
    loop.endPoll();
    await Promise.resolve();
  }

  it('lets one task go on in a turn, in order', async () => {
    for (const name of ['one', 'two', 'three']) add(name);
    await turn();
    expect(done).to.eql(['one']);
    await turn();
    await turn();
    expect(done).to.eql(['one', 'two', 'three']);
  });

  it('polls for input once more after a task has come', async () => {
    loop.poll();
    add('one');
    loop.endPoll();
    await Promise.resolve();
    expect(done).to.eql([]);
    await turn();
    expect(done).to.eql(['one']);
  });

  it('accepts the connections that wait before it lets a task go on', async () => {
    add('one');
    for (let count = 0; count < 10; count += 1) await turn(1, true);
    expect(done).to.eql([]);
    await turn();
    expect(done).to.eql(['one']);
  });

  it('polls again after a long turn', async () => {
    add('one');
    await turn(300);
    expect(done).to.eql([]);
    await turn();
    expect(done).to.eql(['one']);
  });

  it('works half of the time while connections come without end', async () => {
    for (let index = 0; index < 1_000; index += 1) add(String(index));
    for (let count = 0; count < 400; count += 1) await turn(1, true);
    expect(done.length).to.be.within(190, 210);
  });

  it('goes on while each turn is long', async () => {
    for (let index = 0; index < 100; index += 1) add(String(index));
    for (let count = 0; count < 20; count += 1) await turn(70);
    expect(done.length).to.be.within(8, 12);
  });

  it('takes no turn for tasks that are not wanted any more', async () => {
    add('one');
    add('left', () => false);
    add('left too', () => false);
    add('two');
    await turn();
    await turn();
    expect(done).to.eql(['one', 'left', 'left too', 'two']);
  });

  it('lets keys take turns', async () => {
    const crowd = {};
    const caller = {};
    for (const name of ['crowd 1', 'crowd 2', 'crowd 3'])
      add(name, () => true, crowd);
    for (const name of ['caller 1', 'caller 2']) add(name, () => true, caller);
    add('other');
    for (let count = 0; count < 6; count += 1) await turn();
    expect(done).to.eql([
      'crowd 1',
      'caller 1',
      'other',
      'crowd 2',
      'caller 2',
      'crowd 3',
    ]);
  });

  it('keeps the turn of a key whose tasks are not wanted any more', async () => {
    const key = {};
    add('left', () => false, key);
    add('one', () => true, key);
    add('two');
    await turn();
    expect(done).to.eql(['left', 'one']);
    await turn();
    expect(done).to.eql(['left', 'one', 'two']);
  });

  it('tells until when input has been read', async () => {
    loop.poll(500);
    loop.endPoll();
    const polledAt = queue.nextTurn();
    await turn(20);
    expect(await polledAt).to.equal(520);
  });
});
