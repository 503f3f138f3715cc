import type {ClusterNode} from '@arbutustide/membership';
import type {UpstreamProcess} from '@arbutustide/routing';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';

/**
 * Chooses the node that issues the tokens of an upstream's process. Nodes with
 * the same members choose the same one.
 */
export function chooseTokenIssuer(
  nodes: readonly ClusterNode[],
  {id, startedAt}: UpstreamProcess,
): ClusterNode | undefined {
  const [issuer] = selectByRendezvousHash(
    `${id}/${startedAt}`,
    nodes.filter(({state}) => state !== NodeState.LEAVING),
    ({peerUrl}) => peerUrl,
    1,
  );
  return issuer;
}
