/**
 * Guards against nodes that run out of memory or hang because clients send
 * requests ahead and do not read the answers.
 */
import type {CrowdOptions} from '@arbutustide/stand-ins';

import type {ProcessCluster} from '../../processes/process_cluster.js';

import {
  askUntilOk,
  findCrowdFaults,
  MeasuredProcess,
  meetCrowd,
} from '@arbutustide/stand-ins';
import {formatTomlDocument} from '@arbutustide/settings';
import {expect} from 'chai';
import {fetch} from 'undici';

import {startDemoCluster} from '../../processes/demo_cluster.js';

const TEST_MILLISECONDS = 60_000;
const CROWD_MILLISECONDS = 6_000;
const START_MILLISECONDS = 15_000;
const REQUEST_MILLISECONDS = 4_000;
const PROGRAM = 'dist/arbutustide.cjs';
const NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=4'];
/** Of a process whose settings name no resources. */
const RESOURCES = {memory_mb: 350, file_descriptors: 4_096};
const COMPLETION = JSON.stringify({
  model: 'certificate-writer',
  prompt: 'x',
  max_tokens: 1,
});
const POST = [
  'POST /v1/completions HTTP/1.1',
  'Host: a',
  'Content-Type: application/json',
  `Content-Length: ${COMPLETION.length}`,
  '',
  COMPLETION,
].join('\r\n');

interface StartedLogLine {
  readonly msg: string;
  readonly ports?: {readonly callerPort: number; readonly controlPort: number};
}

describe('crowd at a node of the own interface', function () {
  this.timeout(TEST_MILLISECONDS);

  let cluster: ProcessCluster;
  let node: MeasuredProcess;
  let ports: NonNullable<StartedLogLine['ports']>;

  before(async () => {
    cluster = await startDemoCluster();
  });

  after(() => cluster.stop());

  beforeEach(async () => {
    const settings = formatTomlDocument({
      node: {
        name: 'node-crowd',
        region: 'island',
        failureDomain: 'north',
        address: '127.0.0.1',
        callerPort: 0,
        peerPort: 0,
        controlPort: 0,
      },
      platform: {
        objectStoreUrl: cluster.objectApiUrl,
        hostListUrl: cluster.hostListUrl,
        hostListIntervalMilliseconds: 250,
      },
    });
    const file = cluster.writeFile('node-crowd.toml', settings);
    ports = await new Promise(resolve => {
      node = new MeasuredProcess(
        [...NODE_OPTIONS, PROGRAM, 'node', '--settings', file],
        process.env,
        line => {
          const started = parseStartedLine(line);
          if (started) resolve(started);
        },
      );
    });
    const status = await askUntilOk(node, sendCompletion, START_MILLISECONDS);
    expect(status, 'completion after the start').to.equal(200);
  });

  afterEach(() => node.stop());

  async function expectStands(
    port: number,
    crowd: CrowdOptions,
  ): Promise<void> {
    const report = await meetCrowd({
      process: node,
      target: {host: '127.0.0.1', port},
      crowd,
      milliseconds: CROWD_MILLISECONDS,
      ordinaryRequests: {
        completion: sendCompletion,
        metrics: () => ask(`http://127.0.0.1:${ports.controlPort}/metrics`),
      },
    });
    const faults = [...findCrowdFaults(report, RESOURCES)];
    expect(faults.join('; ')).to.equal('');
  }

  function sendCompletion(): Promise<number | undefined> {
    const url = `http://127.0.0.1:${ports.callerPort}/v1/completions`;
    return ask(url, COMPLETION);
  }

  it('does not end or stop it by metric scrapes sent ahead', () =>
    expectStands(ports.controlPort, {
      clientCount: 10,
      opening: '',
      repeated: 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n',
      bytesPerClient: 8_000_000,
    }));

  it('does not end or stop it by completions sent ahead', () =>
    expectStands(ports.callerPort, {
      clientCount: 10,
      opening: '',
      repeated: POST,
      bytesPerClient: 8_000_000,
    }));
});

function parseStartedLine(line: string): StartedLogLine['ports'] {
  if (!line.startsWith('{')) return undefined;
  const {msg, ports} = JSON.parse(line) as StartedLogLine;
  return msg === 'started' ? ports : undefined;
}

/** Sends a request; undefined if no whole answer comes. */
async function ask(url: string, body?: string): Promise<number | undefined> {
  try {
    const response = await fetch(url, {
      signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
      ...(body !== undefined && {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body,
      }),
    });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return undefined;
  }
}
