import {once} from 'node:events';
import {parentPort, Worker} from 'node:worker_threads';

import {startBareRelay} from './bare_relay.js';
import {startFastUpstream} from './fast_upstream.js';

/** The server that a worker thread of the benchmark runs. */
export type BenchWorkerRole =
  | {readonly kind: 'upstream'}
  | {readonly kind: 'relay'; readonly upstream: string};

/** A running worker thread and the URL of its server. */
export interface BenchWorker {
  readonly url: string;
  stop(): Promise<void>;
}

/** Starts a worker thread whose server listens on a free port. */
export async function startBenchWorker(
  role: BenchWorkerRole,
): Promise<BenchWorker> {
  const worker = new Worker(__filename, {workerData: role});
  const [port] = (await once(worker, 'message')) as [number];
  return {
    url: `http://127.0.0.1:${port}`,
    stop: async () => {
      await worker.terminate();
    },
  };
}

/** Starts the server; called in the worker thread. */
export function runBenchWorker(role: BenchWorkerRole): void {
  const onPort = (port: number) => parentPort?.postMessage(port);
  if (role.kind === 'upstream') startFastUpstream(onPort);
  else startBareRelay(role.upstream, onPort);
}
