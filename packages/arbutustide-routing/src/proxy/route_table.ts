import type {Route, RouteTarget, ServingConfiguration} from './route.js';

import {createHash} from 'node:crypto';

/** Number of values of the 32-bit hash that selects a target. */
const HASH_RANGE = 2 ** 32;

/** Matches requests to routes by host, then by longest path prefix. */
export class RouteTable {
  /** Longest time that a request may take, in milliseconds. */
  readonly longestTimeoutMilliseconds: number;
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly configuration: ServingConfiguration) {
    this.longestTimeoutMilliseconds = configuration.routes.reduce(
      (longest, {timeoutMilliseconds}) =>
        Math.max(longest, timeoutMilliseconds),
      0,
    );
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort(
        (left, right) => right.pathPrefix.length - left.pathPrefix.length,
      );
    }
  }

  /**
   * Returns the matching route; undefined if none matches.
   *
   * @param host value of the Host header, with or without a port.
   * @param path without the query.
   */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.byHost
      .get(name)
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }
}

/**
 * Selects the target of a request by weight. The selection is a hash of the
 * request id, so that retries of a caller go to the same service at any node.
 */
export function pickTarget(route: Route, requestId: string): RouteTarget {
  const [first] = route.targets;
  if (route.targets.length === 1) return first;
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = hashFraction(requestId) * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target;
  }
  return first;
}

/** Maps a text to a uniformly distributed number in [0, 1). */
function hashFraction(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / HASH_RANGE;
}
