import type {RunningNodeProcess, SettingsOverrides} from './process_cluster.js';

import {DEMO_CATALOGUE} from '../demo_catalogue.js';
import {complete} from './caller_client.js';
import {ProcessCluster} from './process_cluster.js';

/** Failure domains of the demonstration. */
export const FAILURE_DOMAINS = ['north', 'harbour', 'hill'] as const;

/** Models and adapters of the demonstration's catalogue. */
export const DEMO_MODELS = [
  'certificate-writer',
  'findings-summary',
  'certificate-marine',
  'certificate-powder',
  'findings-french',
] as const;

/** How a demonstration cluster differs from the usual one. */
export interface DemoClusterOptions {
  readonly overrides?: SettingsOverrides;
  readonly engineParameters?: readonly string[];
  readonly serviceParameters?: readonly string[];
  /** Called before each part is started. */
  readonly onProgress?: (text: string) => void;
}

/** Three engines, two service hosts and three nodes with the demo catalogue. */
export async function startDemoCluster(
  options: DemoClusterOptions = {},
): Promise<ProcessCluster> {
  const {overrides, engineParameters, serviceParameters} = options;
  const reportProgress = options.onProgress ?? (() => {});
  const cluster = new ProcessCluster({
    shutdown: {listenMilliseconds: 1_000},
    ...overrides,
  });
  try {
    reportProgress(
      'starting the stand-ins: object API, host list, weight store',
    );
    await cluster.startPlatform();
    reportProgress(
      'starting three engines and two hosts of the release service',
    );
    await Promise.all([
      ...FAILURE_DOMAINS.map(domain =>
        cluster.startEngine(`engine-${domain}`, domain, engineParameters),
      ),
      cluster.startService('release-1', 'release', 'north', serviceParameters),
      cluster.startService('release-2', 'release', 'hill', serviceParameters),
    ]);
    reportProgress('starting three nodes in three failure domains');
    await Promise.all(
      FAILURE_DOMAINS.map(domain =>
        cluster.startNode(`node-${domain}`, domain),
      ),
    );
    reportProgress('applying a catalogue: 2 models, 3 adapters, 1 service');
    await cluster.apply(DEMO_CATALOGUE);
    await cluster.until('every model and adapter answers', () =>
      everyNodeAnswers(cluster),
    );
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return cluster;
}

/** The node in a failure domain. */
export function nodeInDomain(
  cluster: ProcessCluster,
  domain: (typeof FAILURE_DOMAINS)[number],
): RunningNodeProcess {
  const node = cluster.nodes.get(`node-${domain}`);
  if (!node) throw new Error(`there is no node in ${domain}`);
  return node;
}

/** Whether every node answers for every model and adapter. */
export async function everyNodeAnswers(
  cluster: ProcessCluster,
): Promise<boolean> {
  for (const node of cluster.nodes.values()) {
    if (!node.process.isRunning) continue;
    for (const model of DEMO_MODELS) {
      const answer = await complete(node, {model, prompt: 'x', max_tokens: 1});
      if (answer.status !== 200) return false;
    }
  }
  return true;
}
