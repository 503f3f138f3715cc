import type {ClusterNode} from '@arbutustide/membership';
import type {UpstreamProcess} from '@arbutustide/routing';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Chooses the nodes that issue what a key stands for, in an order that depends
 * on the key. Nodes with the same members choose the same ones; those that leave
 * are chosen only while there are no others.
 */
export function chooseIssuers(
  nodes: readonly ClusterNode[],
  key: string,
  count: number,
): ClusterNode[] {
  const staying = nodes.filter(({state}) => state !== NodeState.LEAVING);
  return selectByRendezvousHash(
    key,
    staying.length > 0 ? staying : nodes,
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
