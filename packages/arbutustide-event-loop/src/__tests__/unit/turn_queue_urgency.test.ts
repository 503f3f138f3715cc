/** Guards against urgent requests that wait behind others on a loop that is behind. */
import {expect} from 'chai';

import {InputMonitor} from '../../input_monitor.js';
import {TurnQueue} from '../../turn_queue.js';
import {SimulatedLoop} from './simulated_loop.js';

const URGENT = 0;
const DEFERRED = 2;

describe('TurnQueue with urgencies', () => {
  let loop: SimulatedLoop;
  let queue: TurnQueue;
  /** Tasks that went on, in order. */
  let done: string[];

  beforeEach(() => {
    loop = new SimulatedLoop();
    queue = new TurnQueue(new InputMonitor(loop), loop);
    done = [];
  });

  afterEach(() => loop.uninstall());

  function add(
    name: string,
    urgency?: number,
    key: object = {},
    isWanted = () => true,
  ): void {
    void queue.nextTurn(isWanted, key, urgency).then(() => done.push(name));
  }

  /** Runs turns, whose tasks take a time each. */
  async function turns(count: number, milliseconds = 10): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      loop.poll();
      loop.endPoll();
      await Promise.resolve();
      loop.run(milliseconds);
    }
  }

  it('lets urgent tasks go on first, and work under way before them', async () => {
    add('deferred', DEFERRED);
    add('urgent', URGENT);
    add('usual', 1);
    add('under way');
    await turns(4);
    expect(done).to.eql(['under way', 'urgent', 'usual', 'deferred']);
  });

  it('keeps the order of a connection whose requests differ in urgency', async () => {
    const connection = {};
    add('one', DEFERRED, connection);
    add('two', URGENT, connection);
    add('other', 1);
    await turns(3);
    expect(done).to.eql(['other', 'one', 'two']);
  });

  it('lets connections take turns within an urgency', async () => {
    const crowd = {};
    for (const name of ['crowd 1', 'crowd 2']) add(name, URGENT, crowd);
    add('caller', URGENT);
    await turns(3);
    expect(done).to.eql(['crowd 1', 'caller', 'crowd 2']);
  });

  it('goes on with deferred tasks while an urgent one waits for a poll', async () => {
    add('deferred', DEFERRED);
    loop.poll();
    add('urgent', URGENT);
    loop.endPoll();
    await Promise.resolve();
    expect(done).to.eql(['deferred']);
  });

  it('does not leave a task waiting for ever behind urgent ones that keep coming', async () => {
    add('deferred', DEFERRED);
    for (let index = 0; index < 3_000; index += 1) {
      add('urgent', URGENT);
      await turns(1);
    }
    expect(done).to.include('deferred');
  });

  it('lets work under way go on in order, then the task that waits longest', async () => {
    add('waits longest', DEFERRED);
    await turns(0);
    for (let index = 0; index < 7; index += 1) {
      add('urgent', URGENT);
      await turns(1);
    }
    add('urgent', URGENT);
    for (const name of ['one', 'two', 'three']) add(name);
    done = [];
    await turns(5);
    expect(done).to.eql(['one', 'two', 'three', 'waits longest', 'urgent']);
  });

  it('expects no wait before any was measured', () => {
    for (let index = 0; index < 100; index += 1) add('task', URGENT);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.equal(0);
  });

  it('expects a wait by the measured interval and the tasks before', async () => {
    for (let index = 0; index < 100; index += 1) add('task', 1);
    await turns(80);
    expect(queue.expectedWaitMilliseconds(1)).to.be.within(190, 200);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.equal(0);
  });

  it('expects more urgent tasks to come as often as of late', async () => {
    for (let index = 0; index < 40; index += 1) add('waiting', DEFERRED);
    for (let index = 0; index < 1_000; index += 1) {
      add('task', index % 2 === 0 ? URGENT : DEFERRED);
      await turns(1);
    }
    const expected = queue.expectedWaitMilliseconds(DEFERRED);
    expect(expected).to.be.within(1.8 * 400, 2.2 * 400);
  });

  it('does not expect to wait behind tasks that are not wanted any more', async () => {
    for (let index = 0; index < 80; index += 1) add('task', URGENT);
    for (let index = 0; index < 80; index += 1)
      add('left', URGENT, {}, () => false);
    await turns(60);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.be.within(190, 200);
  });

  it('expects a new connection to wait for one turn of each other', async () => {
    const crowd = {};
    for (let index = 0; index < 80; index += 1) add('crowd', URGENT, crowd);
    await turns(60);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.be.within(9, 10);
    expect(queue.expectedWaitMilliseconds(URGENT, crowd)).to.be.above(190);
  });

  it('counts a turn under way that is already long', async () => {
    for (let index = 0; index < 61; index += 1) add('task', URGENT);
    await turns(60);
    const before = queue.expectedWaitMilliseconds(URGENT);
    loop.run(1_000);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.be.above(before + 90);
  });

  it('does not take a pause without tasks for a slow turn', async () => {
    for (let index = 0; index < 40; index += 1) add('task', URGENT);
    await turns(40);
    loop.run(60_000);
    add('late', URGENT);
    add('late', URGENT);
    await turns(1);
    expect(queue.expectedWaitMilliseconds(URGENT)).to.be.below(10);
  });

  it('tells for how long tasks have waited without a pause', async () => {
    expect(queue.busyMilliseconds).to.equal(0);
    for (let index = 0; index < 10; index += 1) add('task', URGENT);
    await turns(5);
    expect(queue.busyMilliseconds).to.equal(50);
    await turns(5);
    expect(queue.busyMilliseconds).to.equal(0);
  });
});
