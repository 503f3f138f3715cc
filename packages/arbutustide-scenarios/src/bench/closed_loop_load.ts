import {Pool} from 'undici';

/** What one round of load came to. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  /** Latency of each request, in milliseconds. */
  readonly latenciesMilliseconds: readonly number[];
  readonly failures: number;
}

/** One round of closed-loop load. */
export interface LoadOptions {
  readonly url: string;
  readonly connections: number;
  readonly isStream: boolean;
  readonly durationMilliseconds: number;
}

/** Sends requests over a number of connections, one after the other on each. */
export async function runClosedLoopLoad(
  plan: LoadOptions,
): Promise<LoadResult> {
  const pool = new Pool(plan.url, {
    connections: plan.connections,
    pipelining: 1,
  });
  const body = JSON.stringify({
    model: 'fast-model',
    prompt: 'measure',
    stream: plan.isStream,
  });
  const latencies: number[] = [];
  let failures = 0;
  const startedAt = performance.now();
  const endAt = startedAt + plan.durationMilliseconds;
  const runConnection = async () => {
    while (performance.now() < endAt) {
      const sentAt = performance.now();
      const response = await pool.request({
        method: 'POST',
        path: '/v1/completions',
        headers: {'content-type': 'application/json'},
        body,
      });
      const text = await response.body.text();
      const isWhole = !plan.isStream || text.includes('[DONE]');
      if (response.statusCode !== 200 || !isWhole) failures += 1;
      latencies.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: plan.connections}, runConnection));
  const seconds = (performance.now() - startedAt) / 1_000;
  await pool.destroy();
  return {
    requestsPerSecond: latencies.length / seconds,
    latenciesMilliseconds: latencies,
    failures,
  };
}
