import type {ClusterNode} from '@arbutustide/membership';
import type {RoutedRequest} from '@arbutustide/routing';

import {ProtocolLevel} from '@arbutustide/membership';

/**
 * Whether a node passes a request on as it is. Builds without teams would drop
 * the request's team.
 */
export function understands(
  {protocolLevel}: Pick<ClusterNode, 'protocolLevel'>,
  {team}: Pick<RoutedRequest, 'team'>,
): boolean {
  return team === undefined || protocolLevel >= ProtocolLevel.TEAMS;
}
