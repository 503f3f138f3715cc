import type {Route, RouteTarget, ServingConfiguration} from './route.js';

import {createHash} from 'node:crypto';

/** Range of the hash that picks a target. */
const HASH_RANGE = 2 ** 32;

/** Finds the route of a request: by host, then by the longest prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly configuration: ServingConfiguration) {
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
   * The route of a request, if there is one.
   *
   * @param host as the caller sent it, with or without a port.
   * @param path without the query.
   */
  find(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.byHost
      .get(name)
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }
}

/**
 * The service that takes a request. The same request goes to the same service
 * at every node, so that a caller's retry is not a new draw.
 */
export function pickTarget(route: Route, requestId: string): RouteTarget {
  const [first] = route.targets;
  if (route.targets.length === 1) return first;
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let rest = hashFraction(requestId) * total;
  for (const target of route.targets) {
    rest -= target.weight;
    if (rest < 0) return target;
  }
  return first;
}

function hashFraction(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / HASH_RANGE;
}
