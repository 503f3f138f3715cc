import {Pool} from 'undici';

/** Measurements of one round of load. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  /** Latency of each request, in milliseconds. */
  readonly latenciesMilliseconds: readonly number[];
  readonly failures: number;
}

/** Options of one round of closed-loop load. */
export interface LoadOptions {
  readonly url: string;
  readonly connections: number;
  readonly isStream: boolean;
  readonly durationMilliseconds: number;
}

/**
 * Sends requests over a number of connections. Each connection sends its next
 * request when the previous one is answered.
 */
export async function runClosedLoopLoad(
  options: LoadOptions,
): Promise<LoadResult> {
  const pool = new Pool(options.url, {
    connections: options.connections,
    pipelining: 1,
  });
  const body = JSON.stringify({
    model: 'fast-model',
    prompt: 'measure',
    stream: options.isStream,
  });
  const latencies: number[] = [];
  let failures = 0;
  const startedAt = performance.now();
  const endAt = startedAt + options.durationMilliseconds;
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
      const isComplete = !options.isStream || text.includes('[DONE]');
      if (response.statusCode !== 200 || !isComplete) failures += 1;
      latencies.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: options.connections}, runConnection));
  const seconds = (performance.now() - startedAt) / 1_000;
  await pool.destroy();
  return {
    requestsPerSecond: latencies.length / seconds,
    latenciesMilliseconds: latencies,
    failures,
  };
}
