import type {ClusterView, FieldValue} from '@arbutustide/membership';
import type {
  ProxyUpstream,
  ProxyUpstreamDirectory,
  ReachabilityMonitor,
} from '@arbutustide/routing';

import {LostUpstreamsSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Upstreams named for a service; of more, peers find out when they ask. */
const MAXIMUM_NAMED_UPSTREAMS = 8;

/** Fields of this node's record: the upstreams that it has no path to. */
export function* lostUpstreamsFields(
  monitor: ReachabilityMonitor,
  directory: ProxyUpstreamDirectory,
): Generator<readonly [string, FieldValue]> {
  const idsByService = new Map<string, string[]>();
  for (const {id, reachability, description, isReady} of directory.all()) {
    if (!isReady || !reachability.isLost) continue;
    const ids = idsByService.get(description.service) ?? [];
    ids.push(id);
    idsByService.set(description.service, ids);
  }
  for (const [service, ids] of idsByService) {
    const isCutOff = monitor.isCutOff(service);
    const upstreamIds = isCutOff ? [] : ids.slice(0, MAXIMUM_NAMED_UPSTREAMS);
    const value = create(LostUpstreamsSchema, {service, isCutOff, upstreamIds});
    yield [`lost_upstreams/${service}`, {case: 'lostUpstreams', value}];
  }
}

/** Whether a peer may have a path to one of the upstreams, by its record. */
export function mayReachAny(
  clusterView: ClusterView,
  identity: string,
  service: string,
  upstreams: readonly ProxyUpstream[],
): boolean {
  if (upstreams.length === 0) return false;
  const lost = clusterView.lostUpstreamsOf(identity, service);
  if (!lost) return true;
  if (lost.isCutOff) return false;
  return upstreams.some(({id}) => !lost.upstreamIds.includes(id));
}
