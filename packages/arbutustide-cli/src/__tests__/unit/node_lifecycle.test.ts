// Guards against signals that end a process while its node starts or stops.
import type {SignalledNode} from '../../node_lifecycle.js';
import type {NodeSignal, SignalEmitter} from '../../signal_buffer.js';

import {EventEmitter} from 'node:events';

import {silentLogger} from '@arbutustide/telemetry';
import {expect} from 'chai';

import {ExitCode} from '../../exit_code.js';
import {NodeLifecycle} from '../../node_lifecycle.js';
import {SignalBuffer} from '../../signal_buffer.js';

/** A node whose start and stop end when the test says so. */
class ControlledNode implements SignalledNode {
  readonly logger = silentLogger();
  readonly events: string[] = [];
  completeStart: () => void = () => {};
  completeStop: () => void = () => {};
  failStop: (reason: Error) => void = () => {};

  readonly start = (): Promise<SignalledNode> => {
    this.events.push('start');
    return new Promise(resolve => {
      this.completeStart = () => resolve(this);
    });
  };

  stop(): Promise<void> {
    this.events.push('stop');
    return new Promise((resolve, reject) => {
      this.completeStop = resolve;
      this.failStop = reject;
    });
  }

  reload(): void {
    this.events.push('reload');
  }
}

function createLifecycle() {
  const node = new ControlledNode();
  const lifecycle = new NodeLifecycle(exitCode =>
    node.events.push(`exit ${exitCode}`),
  );
  return {node, lifecycle};
}

const settle = () => new Promise(resolve => setImmediate(resolve));

async function startLifecycle(...signalsInStart: readonly NodeSignal[]) {
  const {node, lifecycle} = createLifecycle();
  const running = lifecycle.run(node.start);
  for (const signal of signalsInStart) lifecycle.receive(signal);
  node.completeStart();
  await settle();
  return {node, lifecycle, running};
}

describe('signals to a node', () => {
  it('a stop signal before the start: nothing starts, the process ends', async () => {
    const {node, lifecycle} = createLifecycle();
    lifecycle.receive('SIGTERM');
    await lifecycle.run(node.start);
    expect(node.events).to.deep.equal([`exit ${ExitCode.SUCCESS}`]);
  });

  it('SIGTERM in the start: the node is drained once it has started', async () => {
    const {node, running} = await startLifecycle('SIGTERM', 'SIGTERM');
    expect(node.events).to.deep.equal(['start', 'stop']);
    node.completeStop();
    await running;
    expect(node.events).to.deep.equal(['start', 'stop', 'exit 0']);
  });

  it('SIGHUP in the start: one reload follows it', async () => {
    const {node} = await startLifecycle('SIGHUP', 'SIGHUP');
    expect(node.events).to.deep.equal(['start', 'reload']);
  });

  it('SIGTERM and SIGHUP in a stop: it goes on', async () => {
    const {node, lifecycle} = await startLifecycle();
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP'] as const)
      lifecycle.receive(signal);
    expect(node.events).to.deep.equal(['start', 'stop', 'reload']);
    node.completeStop();
    await settle();
    expect(node.events.at(-1)).to.equal('exit 0');
  });

  it('SIGINT in a stop: the process ends without draining', async () => {
    const {node, lifecycle} = await startLifecycle();
    lifecycle.receive('SIGTERM');
    lifecycle.receive('SIGINT');
    expect(node.events.at(-1)).to.equal(`exit ${ExitCode.INTERNAL}`);
  });

  it('a stop that fails still ends the process', async () => {
    const {node, lifecycle} = await startLifecycle();
    lifecycle.receive('SIGTERM');
    node.failStop(new Error('the store is away'));
    await settle();
    expect(node.events.at(-1)).to.equal(`exit ${ExitCode.INTERNAL}`);
  });
});

describe('signal buffer', () => {
  it('hands on earlier signals first, then later ones', () => {
    const emitter = new EventEmitter();
    const buffer = new SignalBuffer(emitter as SignalEmitter);
    const handled: NodeSignal[] = [];
    emitter.emit('SIGHUP');
    emitter.emit('SIGTERM');
    buffer.handleWith(signal => handled.push(signal));
    emitter.emit('SIGINT');
    expect(handled).to.deep.equal(['SIGHUP', 'SIGTERM', 'SIGINT']);
  });
});
