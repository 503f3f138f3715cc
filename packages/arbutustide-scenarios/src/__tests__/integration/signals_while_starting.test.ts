/**
 * Guards against a process that a signal ends while its node starts, and against
 * the last lines of the log being lost when a process ends.
 */
import type {AddressInfo} from 'node:net';

import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {delay} from '@arbutustide/errors';
import {formatTomlDocument} from '@arbutustide/settings';
import {expect} from 'chai';

const PROGRAM = 'dist/arbutustide.cjs';
const SIGNALS = ['SIGHUP', 'SIGTERM'] as const;
const GRACE_MILLISECONDS = 8_000;
const EXIT_LIMIT_MILLISECONDS = 15_000;

/** Code that is run before the program and signals its own process. */
const MOMENTS: Readonly<Record<string, (signal: string) => string>> = {
  'while modules are evaluated': signal => `
    const Module = require('node:module');
    const load = Module._load;
    Module._load = function (id, ...rest) {
      if (id.endsWith('http2')) process.kill(process.pid, '${signal}');
      return load.call(this, id, ...rest);
    };`,
  'when modules have been evaluated': signal => `
    process.nextTick(() => setImmediate(() =>
      process.kill(process.pid, '${signal}')));`,
  'when it begins to listen': signal => `
    const {Server} = require('node:net');
    const {listen} = Server.prototype;
    Server.prototype.listen = function (...rest) {
      process.kill(process.pid, '${signal}');
      return listen.apply(this, rest);
    };`,
  'when it listens': signal => `
    const {Server} = require('node:net');
    const {emit} = Server.prototype;
    Server.prototype.emit = function (event, ...rest) {
      if (event === 'listening') process.kill(process.pid, '${signal}');
      return emit.call(this, event, ...rest);
    };`,
};

/** Settings files for nodes whose store and host list do not answer. */
const SETTINGS: Readonly<Record<string, () => Promise<string>>> = {
  node: async () =>
    formatTomlDocument({
      node: {
        name: 'signalled',
        region: 'island',
        failureDomain: 'north',
        address: '127.0.0.1',
        callerPort: 0,
        peerPort: 0,
        controlPort: 0,
      },
      shutdown: {listenMilliseconds: 100},
      platform: {
        objectStoreUrl: `http://127.0.0.1:${await findFreePort()}`,
        hostListUrl: `http://127.0.0.1:${await findFreePort()}`,
      },
    }),
  'platform-node': async () =>
    JSON.stringify({
      node: 'signalled',
      ip: '127.0.0.1',
      zone: 'north',
      region: 'island',
      listen: {
        front: `127.0.0.1:${await findFreePort()}`,
        ready: `127.0.0.1:${await findFreePort()}`,
      },
      internal_ports: [await findFreePort(), 0],
      heartbeat_ms: 200,
      bounds: {
        configuration_apply_ms: 2_000,
        drain_ms: 2_000,
        grace_s: 8,
        budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 50,
        lease_ms: 600,
        thaw_ms: 300,
        ceiling_window_s: 5,
        ceiling_over: 1.1,
      },
      platform: {address: `127.0.0.1:${await findFreePort()}`},
    }),
};

interface LogLine {
  readonly msg: string;
}

/** A node's process whose log is read. */
class NodeProcess {
  readonly messages: string[] = [];
  private readonly child;
  private readonly ended;

  constructor(
    parameters: readonly string[],
    environment: Readonly<Record<string, string>>,
    output: 'pipe' | number,
  ) {
    this.child = spawn(process.execPath, parameters, {
      stdio: ['ignore', output, 'inherit'],
      env: {...process.env, ...environment},
    });
    let text = '';
    this.child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (text + chunk.toString()).split('\n');
      text = lines.pop() ?? '';
      for (const line of lines)
        if (line) this.messages.push((JSON.parse(line) as LogLine).msg);
    });
    this.ended = once(this.child, 'exit');
  }

  /** Sends the signal and waits for the end: exit code or name of a signal. */
  async terminate(): Promise<unknown> {
    this.child.kill('SIGTERM');
    return this.waitForEnd();
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async waitForEnd(): Promise<unknown> {
    const timer = setTimeout(
      () => this.child.kill('SIGKILL'),
      EXIT_LIMIT_MILLISECONDS,
    );
    const [code, signal] = await this.ended;
    clearTimeout(timer);
    return code ?? signal;
  }

  async waitForMessage(message: RegExp): Promise<void> {
    while (!this.messages.some(text => message.test(text))) {
      const {exitCode, signalCode} = this.child;
      if (exitCode !== null || signalCode !== null)
        throw new Error(`the process ended: ${exitCode ?? signalCode}`);
      await delay(20);
    }
  }
}

for (const command of ['node', 'platform-node'] as const) {
  describe(`signals while a process starts: ${command}`, function () {
    this.timeout(60_000);
    const directory = mkdtempSync(join(tmpdir(), 'arbutustide-signals-'));
    let fileCount = 0;

    after(() => rmSync(directory, {recursive: true}));

    function writeFile(text: string): string {
      fileCount += 1;
      const file = join(directory, `${fileCount}.cjs`);
      writeFileSync(file, text);
      return file;
    }

    async function start(
      preload: string,
      output: 'pipe' | number = 'pipe',
    ): Promise<NodeProcess> {
      const settings = writeFile(await SETTINGS[command]());
      const parameters = ['--require', writeFile(preload), PROGRAM, command];
      if (command === 'node') parameters.push('--settings', settings);
      const environment = {ARBUTUSTIDE_CONFIG: settings};
      return new NodeProcess(parameters, environment, output);
    }

    for (const signal of SIGNALS) {
      for (const [moment, createPreload] of Object.entries(MOMENTS)) {
        it(`${signal} ${moment}`, async () => {
          const node = await start(createPreload(signal));
          if (signal === 'SIGHUP') {
            await node.waitForMessage(/started/);
            await node.waitForMessage(/reload|settings file is valid/);
            expect(await node.terminate()).to.equal(0);
          } else {
            expect(await node.waitForEnd()).to.equal(0);
          }
          const hasStarted = node.messages.includes('started');
          expect(node.messages.includes('stopped')).to.equal(hasStarted);
        });
      }
    }

    it('SIGTERM, SIGHUP and SIGTERM in a stop do not cut it', async () => {
      const node = await start('');
      await node.waitForMessage(/started/);
      const ended = node.terminate();
      await node.waitForMessage(/leaving/);
      node.signal('SIGHUP');
      node.signal('SIGTERM');
      expect(await ended).to.equal(0);
      expect(node.messages).to.include('stopped');
    });

    it('a reader of the log that has stalled does not keep the process', async () => {
      const full = openFullPipe(join(directory, 'log'));
      const node = await start(MOMENTS['when it listens']('SIGTERM'), full);
      const startedAt = performance.now();
      await node.waitForEnd();
      const elapsed = performance.now() - startedAt;
      closeSync(full);
      expect(elapsed).to.be.lessThan(GRACE_MILLISECONDS);
    });
  });
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** A pipe that takes no byte more; its descriptor also keeps it open to read. */
function openFullPipe(path: string): number {
  execFileSync('mkfifo', [path]);
  const filler = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  try {
    for (;;) writeSync(filler, '\n'.repeat(4_096));
  } catch (error) {
    expect((error as NodeJS.ErrnoException).code).to.equal('EAGAIN');
  }
  const descriptor = openSync(path, constants.O_RDWR);
  closeSync(filler);
  return descriptor;
}
