import type {RunningNodeProcess} from './processes/process_cluster.js';

import {randomUUID} from 'node:crypto';

import {fetch} from 'undici';

import {DEMO_CATALOGUE} from './demo_catalogue.js';
import {ProcessCluster} from './processes/process_cluster.js';

const FAILURE_DOMAINS = ['north', 'harbour', 'hill'] as const;

async function main(): Promise<void> {
  const cluster = new ProcessCluster({shutdown: {listenMilliseconds: 1_000}});
  const isOnce = process.argv.includes('--once');
  try {
    await runDemo(cluster);
    if (isOnce) return;
    printLinesToTry(cluster);
    await new Promise(resolve => process.once('SIGINT', resolve));
  } finally {
    await cluster.stop();
  }
}

async function runDemo(cluster: ProcessCluster): Promise<void> {
  say('starting the stand-ins: object API, host list, weight store');
  await cluster.startPlatform();
  say('starting three engines and two hosts of the release service');
  for (const domain of FAILURE_DOMAINS) {
    await cluster.startEngine(`engine-${domain}`, domain);
  }
  await cluster.startService('release-1', 'release', 'north');
  await cluster.startService('release-2', 'release', 'hill');
  say('starting three nodes in three failure domains');
  for (const domain of FAILURE_DOMAINS) {
    await cluster.startNode(`node-${domain}`, domain);
  }
  say('applying a catalogue: 2 models, 3 adapters, 1 service');
  await cluster.apply(DEMO_CATALOGUE);
  const [first, second] = cluster.nodes.values();
  await cluster.until('every model and adapter answers', () =>
    answersEverywhere(cluster),
  );
  await showStream(first);
  await showRelease(second);
}

async function answersEverywhere(cluster: ProcessCluster): Promise<boolean> {
  const entries = [
    'certificate-writer',
    'findings-summary',
    'certificate-marine',
    'certificate-powder',
    'findings-french',
  ];
  for (const node of cluster.nodes.values()) {
    for (const model of entries) {
      const response = await complete(node, {
        model,
        prompt: 'x',
        max_tokens: 1,
      });
      await response.arrayBuffer();
      if (response.status !== 200) return false;
    }
  }
  return true;
}

async function showStream(node: RunningNodeProcess): Promise<void> {
  const response = await complete(node, {
    model: 'certificate-marine',
    prompt: 'Draft a certificate of analysis for batch 4711.',
    max_tokens: 8,
    stream: true,
  });
  const text = await response.text();
  const tokens = text
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)).choices[0].text)
    .join('');
  const upstream = response.headers.get('x-upstream');
  say(`streamed through ${node.name}, ran at ${upstream}: ${tokens}`);
  if (!text.includes('data: [DONE]'))
    throw new Error('the stream is not whole');
}

async function showRelease(node: RunningNodeProcess): Promise<void> {
  const key = randomUUID();
  for (const attempt of ['first', 'second']) {
    const response = await fetch(`${node.callerUrl}/services/release/batches`, {
      method: 'POST',
      headers: {'content-type': 'application/json', 'idempotency-key': key},
      body: JSON.stringify({batch: 4711}),
    });
    const upstream = response.headers.get('x-upstream') ?? 'kept answer';
    say(
      `${attempt} try of a release through ${node.name}: ` +
        `${response.status} by ${upstream}: ${await response.text()}`,
    );
    if (response.status !== 200) throw new Error('the release failed');
  }
}

function complete(node: RunningNodeProcess, body: object) {
  return fetch(`${node.callerUrl}/v1/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
}

function printLinesToTry(cluster: ProcessCluster): void {
  const [node] = cluster.nodes.values();
  say('running; stop with Ctrl-C. Lines to try:');
  const lines = [
    `curl ${node.callerUrl}/v1/models`,
    `curl -N ${node.callerUrl}/v1/completions ` +
      "-H 'content-type: application/json' " +
      '-d \'{"model":"certificate-writer","prompt":"hello","stream":true}\'',
    `export ARBUTUSTIDE_OBJECT_STORE=${cluster.objectApiUrl}`,
    `export ARBUTUSTIDE_HOST_LIST=${cluster.hostListUrl}`,
    'node dist/arbutustide.cjs status',
    'node dist/arbutustide.cjs explain certificate-writer',
    'node dist/arbutustide.cjs catalogue get > catalogue.toml',
    'node dist/arbutustide.cjs catalogue apply catalogue.toml --wait',
    `curl ${node.controlUrl}/metrics`,
  ];
  for (const line of lines) process.stdout.write(`  ${line}\n`);
}

function say(text: string): void {
  process.stdout.write(`demo: ${text}\n`);
}

void main().then(
  () => process.exit(0),
  error => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
