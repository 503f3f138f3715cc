import type {RunningNodeProcess, SettingsOverrides} from './process_cluster.js';

import {DEMO_CATALOGUE} from '../demo_catalogue.js';
import {sendCompletion} from './caller_client.js';
import {ProcessCluster} from './process_cluster.js';

/** Failure domains of the demo cluster; each has an engine and a node. */
export const FAILURE_DOMAINS = ['north', 'harbour', 'hill'] as const;

/** Names of the models and adapters in the demo catalogue. */
export const DEMO_MODEL_NAMES = [
  'certificate-writer',
  'findings-summary',
  'certificate-marine',
  'certificate-powder',
  'findings-french',
] as const;

/** Options of a demo cluster. */
export interface DemoClusterOptions {
  /** Settings that every node gets on top of the defaults. */
  readonly overrides?: SettingsOverrides;
  /** Further command-line parameters of every engine. */
  readonly engineParameters?: readonly string[];
  /** Further command-line parameters of every service host. */
  readonly serviceParameters?: readonly string[];
  /** Called with a message before each step of the start. */
  readonly onProgress?: (text: string) => void;
}

/**
 * Starts three engines, two service hosts and three nodes, applies the demo
 * catalogue and waits until every node answers for every model. Stops whatever
 * was started if one step fails.
 */
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
    reportProgress('starting three engines and two release service hosts');
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
    reportProgress('applying the catalogue: 2 models, 3 adapters, 1 service');
    await cluster.applyCatalogue(DEMO_CATALOGUE);
    await cluster.waitUntil(
      'every node answers for every model and adapter',
      () => everyNodeAnswers(cluster),
    );
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return cluster;
}

/** Returns the node of a failure domain. */
export function nodeInDomain(
  cluster: ProcessCluster,
  domain: (typeof FAILURE_DOMAINS)[number],
): RunningNodeProcess {
  const node = cluster.nodes.get(`node-${domain}`);
  if (!node) throw new Error(`no node runs in failure domain ${domain}`);
  return node;
}

/** Whether every running node answers for every model and adapter. */
export async function everyNodeAnswers(
  cluster: ProcessCluster,
): Promise<boolean> {
  for (const node of cluster.nodes.values()) {
    if (!node.process.isRunning) continue;
    for (const model of DEMO_MODEL_NAMES) {
      const answer = await sendCompletion(node, {
        model,
        prompt: 'x',
        max_tokens: 1,
      });
      if (answer.status !== 200) return false;
    }
  }
  return true;
}
