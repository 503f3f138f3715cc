import type {ProxyDispatcher} from '@arbutustide/routing';

import {delay} from '@arbutustide/errors';

/** Interval at which a node that stops looks for stalled streams. */
const CHECK_INTERVAL_MILLISECONDS = 50;

/** Hands stalled streams over to other upstreams, until the signal. */
export async function handOverStalledStreams(
  dispatcher: Pick<ProxyDispatcher, 'handOverStalledStreams'>,
  signal: AbortSignal,
): Promise<void> {
  do dispatcher.handOverStalledStreams();
  while (await delay(CHECK_INTERVAL_MILLISECONDS, signal));
}
