import type {Settings} from '@arbutustide/settings';
import type {PlatformHost} from '@arbutustide/upstream';

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {delay} from '@arbutustide/errors';
import {formatTomlDocument} from '@arbutustide/settings';
import {HostKind, HostState} from '@arbutustide/upstream';
import {fetch} from 'undici';

import {ProgramProcess} from './program_process.js';

const STAND_INS_PROGRAM = 'dist/stand_ins.cjs';
const ARBUTUSTIDE_PROGRAM = 'dist/arbutustide.cjs';
const POLL_INTERVAL_MILLISECONDS = 50;

/** A stand-in with its address. */
export interface RunningStandIn {
  readonly process: ProgramProcess;
  readonly url: string;
}

/** A node with its addresses. */
export interface RunningNodeProcess {
  readonly name: string;
  readonly process: ProgramProcess;
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly controlUrl: string;
  readonly failureDomain: string;
}

/** Sections of a node's settings that differ from the defaults. */
export type SettingsOverrides = {
  readonly [Section in keyof Settings]?: Partial<Settings[Section]>;
};

interface NodeStartedLogLine {
  readonly msg: string;
  readonly ports: {
    readonly callerPort: number;
    readonly peerPort: number;
    readonly controlPort: number;
  };
}

/**
 * Stand-ins and nodes that run as separate processes on this machine, started
 * from the bundles in `dist/`. Each process listens on a free port.
 */
export class ProcessCluster {
  readonly nodes = new Map<string, RunningNodeProcess>();
  readonly engines = new Map<string, RunningStandIn>();
  readonly services = new Map<string, RunningStandIn>();
  private readonly temporaryDirectory = mkdtempSync(
    join(tmpdir(), 'arbutustide-'),
  );
  private readonly startedProcesses: ProgramProcess[] = [];
  private objectApi!: RunningStandIn;
  private hostList!: RunningStandIn;
  private weightStore!: RunningStandIn;

  /** @param settingsOverrides settings that every node gets. */
  constructor(private readonly settingsOverrides: SettingsOverrides = {}) {}

  get objectApiUrl(): string {
    return this.objectApi.url;
  }

  get objectApiProcess(): ProgramProcess {
    return this.objectApi.process;
  }

  get hostListUrl(): string {
    return this.hostList.url;
  }

  /** The latest output of each process that has ended by itself. */
  *unexpectedEnds(): Generator<string> {
    for (const {name, hasEndedByItself, outputLines} of this.startedProcesses) {
      if (hasEndedByItself)
        yield `process ${name} has ended by itself:\n${outputLines.join('\n')}`;
    }
  }

  /** Starts the object API, the host list and the weight store. */
  async startPlatform(hostListLagMilliseconds = 200): Promise<void> {
    [this.objectApi, this.hostList, this.weightStore] = await Promise.all([
      this.startStandIn('object-api', []),
      this.startStandIn('host-list', [
        '--lag-milliseconds',
        String(hostListLagMilliseconds),
      ]),
      this.startStandIn('weight-store', [
        '--loads-per-second',
        '50',
        '--load-milliseconds',
        '20',
      ]),
    ]);
  }

  /** Starts an engine and adds it to the host list. */
  async startEngine(
    id: string,
    failureDomain: string,
    parameters: readonly string[] = [],
  ): Promise<RunningStandIn> {
    const engine = await this.startStandIn('engine', [
      '--weight-store',
      this.weightStore.url,
      ...parameters,
    ]);
    this.engines.set(id, engine);
    await this.registerHost({
      id,
      kind: HostKind.ENGINE,
      url: engine.url,
      region: 'island',
      failureDomain,
      state: HostState.LIVE,
      checksFencing: !parameters.includes('--ignore-fencing'),
    });
    return engine;
  }

  /** Starts a host of a plain service and adds it to the host list. */
  async startService(
    id: string,
    group: string,
    failureDomain: string,
    parameters: readonly string[] = [],
  ): Promise<RunningStandIn> {
    const service = await this.startStandIn('service', parameters);
    this.services.set(id, service);
    await this.registerHost({
      id,
      kind: HostKind.SERVICE,
      url: service.url,
      region: 'island',
      failureDomain,
      state: HostState.LIVE,
      group,
      checksFencing: false,
    });
    return service;
  }

  /** Starts a node and adds it to the host list. */
  async startNode(
    name: string,
    failureDomain: string,
  ): Promise<RunningNodeProcess> {
    const settings = this.formatNodeSettings(name, failureDomain);
    const file = this.writeFile(`${name}.toml`, settings);
    const process = this.startProgram(name, ARBUTUSTIDE_PROGRAM, [
      'node',
      '--settings',
      file,
    ]);
    const line = await process.waitForLine(text => isNodeStartedLogLine(text));
    const {ports} = JSON.parse(line) as NodeStartedLogLine;
    const node: RunningNodeProcess = {
      name,
      process,
      callerUrl: `http://127.0.0.1:${ports.callerPort}`,
      peerUrl: `http://127.0.0.1:${ports.peerPort}`,
      controlUrl: `http://127.0.0.1:${ports.controlPort}`,
      failureDomain,
    };
    this.nodes.set(name, node);
    await this.registerHost({
      id: name,
      kind: HostKind.ENTRY_NODE,
      url: node.peerUrl,
      region: 'island',
      failureDomain,
      state: HostState.LIVE,
      checksFencing: false,
    });
    return node;
  }

  /** Adds a host to the host list or replaces the one with its id. */
  async registerHost(host: PlatformHost): Promise<void> {
    await this.sendControlRequest(
      `${this.hostListUrl}/stand-in/hosts`,
      'PUT',
      host,
    );
  }

  /** Removes a host from the host list. */
  async unregisterHost(id: string): Promise<void> {
    const url = `${this.hostListUrl}/stand-in/hosts/${encodeURIComponent(id)}`;
    await this.sendControlRequest(url, 'DELETE');
  }

  /** Runs an operator command to its end. */
  async runCommand(
    ...parameters: readonly string[]
  ): Promise<{readonly output: string; readonly exitCode: number | null}> {
    const command = new ProgramProcess('command', process.execPath, [
      ARBUTUSTIDE_PROGRAM,
      ...parameters,
      '--object-store',
      this.objectApiUrl,
      '--host-list',
      this.hostListUrl,
    ]);
    const exitCode = await command.waitForExit();
    return {output: command.outputLines.join('\n'), exitCode};
  }

  /** Writes a file into the temporary directory and returns its path. */
  writeFile(name: string, text: string): string {
    const file = join(this.temporaryDirectory, name);
    writeFileSync(file, text);
    return file;
  }

  /** Applies a catalogue and waits until it is active on every node. */
  async applyCatalogue(toml: string): Promise<void> {
    const file = this.writeFile('catalogue.toml', toml);
    const applied = await this.runCommand('catalogue', 'apply', file, '--wait');
    if (applied.exitCode === 0) return;
    throw new Error(
      `catalogue apply exited with ${applied.exitCode}: ${applied.output}`,
    );
  }

  /** Fetches what a stand-in recorded, such as calls and orders. */
  async fetchRecords(standIn: RunningStandIn): Promise<unknown> {
    const response = await fetch(`${standIn.url}/stand-in/records`);
    return response.json();
  }

  /** Injects a fault into the stand-in at a URL. */
  async injectFault(url: string, rule: object): Promise<void> {
    await this.sendControlRequest(`${url}/stand-in/faults`, 'POST', rule);
  }

  /** Closes all open connections of a stand-in, including this one. */
  async closeConnections(standIn: RunningStandIn): Promise<void> {
    const url = `${standIn.url}/stand-in/cut`;
    await this.sendControlRequest(url, 'POST').catch(() => {});
  }

  /** Removes all injected faults from the stand-in at a URL. */
  async clearFaults(url: string): Promise<void> {
    await this.sendControlRequest(`${url}/stand-in/faults`, 'DELETE');
  }

  /**
   * Polls until a condition is satisfied.
   *
   * @param condition names the condition in the error after the timeout.
   */
  async waitUntil(
    condition: string,
    isSatisfied: () => Promise<boolean>,
    timeoutMilliseconds = 20_000,
  ): Promise<void> {
    const deadlineMilliseconds = performance.now() + timeoutMilliseconds;
    while (!(await isSatisfied())) {
      if (performance.now() > deadlineMilliseconds)
        throw new Error(`timed out waiting until ${condition}`);
      await delay(POLL_INTERVAL_MILLISECONDS);
    }
  }

  /** Kills every process and removes the temporary directory. */
  async stop(): Promise<void> {
    for (const program of this.startedProcesses) {
      program.sendSignal('SIGCONT');
      program.sendSignal('SIGKILL');
    }
    await Promise.all(
      this.startedProcesses.map(program => program.waitForExit()),
    );
    rmSync(this.temporaryDirectory, {recursive: true});
  }

  private async startStandIn(
    kind: string,
    parameters: readonly string[],
  ): Promise<RunningStandIn> {
    const process = this.startProgram(kind, STAND_INS_PROGRAM, [
      kind,
      ...parameters,
    ]);
    const line = await process.waitForLine(text => text.startsWith('{"port"'));
    const {port} = JSON.parse(line) as {port: number};
    return {process, url: `http://127.0.0.1:${port}`};
  }

  private startProgram(
    name: string,
    program: string,
    parameters: readonly string[],
  ): ProgramProcess {
    const started = new ProgramProcess(name, process.execPath, [
      program,
      ...parameters,
    ]);
    this.startedProcesses.push(started);
    return started;
  }

  private formatNodeSettings(name: string, failureDomain: string): string {
    const settings = {
      ...this.settingsOverrides,
      node: {
        name,
        region: 'island',
        failureDomain,
        address: '127.0.0.1',
        callerPort: 0,
        peerPort: 0,
        controlPort: 0,
      },
      platform: {
        objectStoreUrl: this.objectApiUrl,
        hostListUrl: this.hostListUrl,
        hostListIntervalMilliseconds: 250,
        ...this.settingsOverrides.platform,
      },
    };
    return formatTomlDocument(settings);
  }

  private async sendControlRequest(
    url: string,
    method: string,
    body?: object,
  ): Promise<void> {
    const response = await fetch(url, {
      method,
      headers: {'content-type': 'application/json'},
      ...(body && {body: JSON.stringify(body)}),
    });
    await response.arrayBuffer();
  }
}

function isNodeStartedLogLine(line: string): boolean {
  if (!line.startsWith('{')) return false;
  return (JSON.parse(line) as NodeStartedLogLine).msg === 'started';
}
