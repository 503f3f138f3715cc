/**
 * Guards against requests of a node that stops, and is the only one, which wait
 * for a token that nobody issues.
 */
import type {ClusterNode} from '@arbutustide/membership';

import {NodeState, ProtocolLevel} from '@arbutustide/membership';
import {expect} from 'chai';

import {chooseTokenIssuer} from '../../proxy/rate_limit/choose_token_issuer.js';

const PROCESS = {id: 'upstream', startedAt: 1};

function createNode(name: string, state: NodeState): ClusterNode {
  return {
    identity: name,
    name,
    peerUrl: `http://${name}`,
    region: 'region',
    failureDomain: 'domain',
    state,
    catalogueRevision: 1,
    plannerEpoch: 0,
    protocolLevel: ProtocolLevel.TEAMS,
  };
}

describe('issuer of the tokens of an upstream', () => {
  it('is a node that stays', () => {
    for (const [first, second] of [
      ['one', 'two'],
      ['two', 'one'],
    ]) {
      const nodes = [
        createNode(first, NodeState.LEAVING),
        createNode(second, NodeState.READY),
      ];
      expect(chooseTokenIssuer(nodes, PROCESS)?.name).to.equal(second);
    }
  });

  it('is a node that leaves if all do', () => {
    const nodes = [createNode('one', NodeState.LEAVING)];
    expect(chooseTokenIssuer(nodes, PROCESS)?.name).to.equal('one');
  });
});
