import type {
  ProcessCluster,
  RunningNodeProcess,
} from './processes/process_cluster.js';

import {randomUUID} from 'node:crypto';

import {completionText} from './completion_text.js';
import {complete, recordRelease} from './processes/caller_client.js';
import {nodeInDomain, startDemoCluster} from './processes/demo_cluster.js';

async function main(): Promise<void> {
  const exitsWhenDone = process.argv.includes('--once');
  const cluster = await startDemoCluster({onProgress: printProgress});
  try {
    await demonstrateStream(nodeInDomain(cluster, 'north'));
    await demonstrateRelease(nodeInDomain(cluster, 'harbour'));
    if (exitsWhenDone) return;
    printExampleCommands(cluster);
    await waitForStopSignal();
  } finally {
    await cluster.stop();
  }
}

/** Waits for Ctrl-C or a signal to end. */
function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function demonstrateStream(node: RunningNodeProcess): Promise<void> {
  const {body, upstream} = await complete(node, {
    model: 'certificate-marine',
    prompt: 'Draft a certificate of analysis for batch 4711.',
    max_tokens: 8,
    stream: true,
  });
  const text = completionText(body);
  printProgress(`streamed through ${node.name}, ran at ${upstream}: ${text}`);
  if (!body.includes('data: [DONE]'))
    throw new Error('the stream is not whole');
}

async function demonstrateRelease(node: RunningNodeProcess): Promise<void> {
  const key = randomUUID();
  for (const attempt of ['first', 'second']) {
    const {status, body, upstream} = await recordRelease(node, key);
    printProgress(
      `${attempt} try of a release through ${node.name}: ` +
        `${status} by ${upstream ?? 'the answer kept'}: ${body}`,
    );
    if (status !== 200) throw new Error('the release failed');
  }
}

function printExampleCommands(cluster: ProcessCluster): void {
  const [node] = cluster.nodes.values();
  printProgress('running; stop with Ctrl-C. Lines to try:');
  const exampleCommands = [
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
  for (const exampleCommand of exampleCommands)
    process.stdout.write(`  ${exampleCommand}\n`);
}

function printProgress(text: string): void {
  process.stdout.write(`demo: ${text}\n`);
}

void main().then(
  () => process.exit(0),
  error => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
