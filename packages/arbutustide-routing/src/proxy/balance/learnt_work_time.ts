import type {ProxyUpstream} from '../proxy_upstream.js';

/** Upstreams that must have been measured for one of them to be compared. */
const MINIMUM_MEASURED = 3;
/** Requests differ by this much, so that less says nothing of the upstream. */
const MINIMUM_FACTOR = 1.5;
/** Bounds the effect of a few unusual requests. */
const MAXIMUM_FACTOR = 4;

/**
 * Learns from responses how long work takes at upstreams that do not tell.
 *
 * @param upstreams upstreams that can serve the same request.
 * @return the factor on the usual time, by upstream; one if unknown.
 */
export function learnWorkTimes(
  upstreams: readonly ProxyUpstream[],
): (upstream: ProxyUpstream) => number {
  const measured: number[] = [];
  for (const {responseTime} of upstreams) {
    const {averageMilliseconds} = responseTime;
    if (averageMilliseconds !== undefined) measured.push(averageMilliseconds);
  }
  if (measured.length < MINIMUM_MEASURED) return () => 1;
  measured.sort((left, right) => left - right);
  const usual = measured[Math.floor((measured.length - 1) / 2)];
  return ({responseTime: {averageMilliseconds = usual}}) => {
    const factor = averageMilliseconds / usual;
    return factor < MINIMUM_FACTOR ? 1 : Math.min(factor, MAXIMUM_FACTOR);
  };
}
