// Starts nodes of the system as separate processes, with the command of the
// deploy file and settings like those of a small deployment.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {pause} from './worker.mjs';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));
const RESTART_MILLISECONDS = 300;

/** Bounds of the deployment abay-certs. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stability_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  configuration_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_bound_ms: 5000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 52,
  recovery_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  fencing_required: true,
  lease_ms: 3000,
  thaw_ms: 300,
  ceiling_window_s: 5,
  ceiling_over: 1.1,
};

/** The nodes of one script: each on a loopback address of its own. */
export class NodeCluster {
  constructor(storeAddress, zones) {
    this.storeAddress = storeAddress;
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.nodes = zones.map((zone, index) => ({
      name: `front-${zone}-${index + 1}`,
      zone,
      ip: `127.0.7.${index + 1}`,
    }));
  }

  /** Starts all nodes; resolves once each says that it is ready. */
  async start() {
    const [front, ready, control, peers] = await findFreePorts(
      this.nodes.map(({ip}) => ip),
      4,
    );
    this.ports = {front, ready, control, peers};
    for (const node of this.nodes) this.startNode(node, true);
    await this.waitUntilReady();
  }

  async waitUntilReady(milliseconds = 15_000) {
    const endAt = performance.now() + milliseconds;
    for (const node of this.nodes) {
      while (!(await this.isReady(node))) {
        if (performance.now() > endAt)
          throw new Error(`${node.name} is not ready`);
        await pause(100);
      }
    }
  }

  startNode(node, isFirstStart) {
    const file = join(this.directory, `${node.name}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(node, isFirstStart)));
    const [program, ...words] = readRunCommand();
    const child = spawn(program, words, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env.PATH,
        HOME: this.directory,
        LANG: 'C.UTF-8',
        ARBUTUSTIDE_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.directory, `${node.name}.log`), {flags: 'a'});
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    node.child = child;
    node.startedAtMilliseconds = performance.now();
    node.isDown = false;
    child.on('exit', (code, signal) => {
      node.endedAtMilliseconds = performance.now();
      node.ended = {code, signal};
      if (this.isClosed || !node.restarts) return;
      setTimeout(() => {
        if (!this.isClosed) this.startNode(node, false);
      }, RESTART_MILLISECONDS);
    });
  }

  /** Sends SIGKILL to every node that still runs and waits for its end. */
  async close() {
    this.isClosed = true;
    await Promise.all(
      this.nodes.map(async ({child}) => {
        if (!child || child.exitCode !== null || child.signalCode !== null) return;
        const ended = new Promise(resolve => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await ended;
      }),
    );
    if (!process.env.KEEP_LOGS) rmSync(this.directory, {recursive: true, force: true});
  }

  /** Resolves when a node has ended; false if it has not in this time. */
  async waitForEnd(node, milliseconds) {
    const endAt = performance.now() + milliseconds;
    while (node.child.exitCode === null && node.child.signalCode === null) {
      if (performance.now() > endAt) return false;
      await pause(20);
    }
    return true;
  }

  isReady({ip}) {
    return new Promise(resolve => {
      const call = request(
        {host: ip, port: this.ports.ready, path: '/ready', timeout: 500},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
      call.end();
    });
  }

  settingsOf({name, zone, ip, storeAddress}, isFirstStart) {
    const {front, ready, control, peers} = this.ports;
    const zones = [...new Set(this.nodes.map(node => node.zone))];
    return {
      node: name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front', 'control'],
      ip,
      zone,
      region: 'addis',
      zones: Object.fromEntries(zones.map(known => [known, 'addis'])),
      listen: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
      },
      internal_ports: [peers, peers + 15],
      seeds: this.nodes.slice(0, 3).map(node => `${node.ip}:${control}`),
      first_start: isFirstStart,
      in_tolerance: false,
      limits: {cpu_share: 0.675, cores: 1, memory_mb: 350, file_descriptors: 4200, link_mbps: 1000, disk_mb: 0},
      data_directory: null,
      discovery: 'platform',
      entry: 'virtual_ip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'],
      tolerate: {machines: 1, zones: 0, regions: 0},
      bounds: BOUNDS,
      platform: {
        address: storeAddress ?? this.storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        minimum_ttl_ms: 1000,
      },
    };
  }
}

/** The words of `run` in the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

/** Ports that are free at each of the addresses. */
async function findFreePorts(addresses, count) {
  const ports = [];
  const servers = [];
  while (ports.length < count) {
    const [first, ...others] = addresses;
    const server = await listenAt(first, 0);
    servers.push(server);
    const {port} = server.address();
    const rest = await Promise.all(
      others.map(address => listenAt(address, port).catch(() => undefined)),
    );
    servers.push(...rest.filter(Boolean));
    if (rest.every(Boolean)) ports.push(port);
  }
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
  return ports;
}

function listenAt(host, port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
