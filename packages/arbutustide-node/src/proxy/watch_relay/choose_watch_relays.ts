import type {ClusterNode} from '@arbutustide/membership';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Nodes of a failure domain from which one of them watches the store for the
 * others.
 */
const MINIMUM_NODES_TO_RELAY = 3;
/** Nodes that watch through one relay. */
const NODES_PER_RELAY = 16;
const RELAY_SELECTION_KEY = 'watch-relay';

/**
 * Chooses the peers through which a node watches the store, best first. Empty
 * if it must watch itself: it is a relay, or its failure domain has too few
 * nodes. All nodes with the same view choose the same relays, so the number of
 * watches grows with the failure domains, and by one per NODES_PER_RELAY nodes.
 */
export function chooseWatchRelays(
  nodes: Iterable<ClusterNode>,
  ownIdentity: string,
  ownFailureDomain: string,
): ClusterNode[] {
  const relays = listRelays(nodes, ownFailureDomain);
  if (relays.some(({identity}) => identity === ownIdentity)) return [];
  // Each node prefers another of them, so that they share the load.
  return selectByRendezvousHash(
    ownIdentity,
    relays,
    ({identity}) => identity,
    relays.length,
  );
}

/**
 * Chooses the peers of other failure domains that watch the store, best first,
 * for a node that the store does not serve.
 */
export function chooseDistantWatchRelays(
  nodes: Iterable<ClusterNode>,
  ownIdentity: string,
  ownFailureDomain: string,
): ClusterNode[] {
  const known = [...nodes];
  const domains = new Set(known.map(({failureDomain}) => failureDomain));
  domains.delete(ownFailureDomain);
  const relays = [...domains].flatMap(domain => listRelays(known, domain));
  return selectByRendezvousHash(
    ownIdentity,
    relays,
    ({identity}) => identity,
    relays.length,
  );
}

/** The nodes of a failure domain that watch the store for its others. */
function listRelays(
  nodes: Iterable<ClusterNode>,
  domain: string,
): ClusterNode[] {
  const candidates = [...nodes].filter(
    ({failureDomain, state}) =>
      failureDomain === domain && state === NodeState.READY,
  );
  if (candidates.length < MINIMUM_NODES_TO_RELAY) return [];
  return selectByRendezvousHash(
    RELAY_SELECTION_KEY,
    candidates,
    ({identity}) => identity,
    Math.ceil(candidates.length / NODES_PER_RELAY),
  );
}
