import type {ClusterNode} from '@arbutustide/membership';
import type {UpstreamProcess} from '@arbutustide/routing';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Chooses the nodes that issue what a key stands for, in an order that depends
 * on the key. Nodes with the same members choose the same ones.
 */
export function chooseIssuers(
  nodes: readonly ClusterNode[],
  key: string,
  count: number,
): ClusterNode[] {
  return selectByRendezvousHash(
    key,
    nodes.filter(({state}) => state !== NodeState.LEAVING),
    ({peerUrl}) => peerUrl,
    count,
  );
}

/** Chooses the node that issues the tokens of an upstream's process. */
export function chooseTokenIssuer(
  nodes: readonly ClusterNode[],
  {id, startedAt}: UpstreamProcess,
): ClusterNode | undefined {
  const [issuer] = chooseIssuers(nodes, `${id}/${startedAt}`, 1);
  return issuer;
}
