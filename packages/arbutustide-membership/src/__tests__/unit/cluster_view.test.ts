// Guards against requests of other failure domains that count as this domain's.
import type {MemberTable as Table} from '../../index.js';

import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';

import {
  ClusterView,
  MemberTable,
  NodeStatusSchema,
  OwnRecord,
  UpstreamLoadSchema,
} from '../../index.js';
import {NODE_STATUS_KEY} from '../../member_record.js';

const EXPIRY_MILLISECONDS = 3_500;

function createTable(
  identity: string,
  failureDomain: string,
  inFlight: number,
): Table {
  const own = new OwnRecord(identity, EXPIRY_MILLISECONDS);
  own.set(NODE_STATUS_KEY, {
    case: 'status',
    value: create(NodeStatusSchema, {name: identity, failureDomain}),
  });
  own.set('load/engine', {
    case: 'load',
    value: create(UpstreamLoadSchema, {upstreamId: 'engine', inFlight}),
  });
  return new MemberTable(own, EXPIRY_MILLISECONDS);
}

describe('view of the cluster', () => {
  it('sums the requests of peers, of all and of one failure domain', () => {
    const reader = createTable('reader', 'near', 100);
    const peers = [
      createTable('one', 'near', 2),
      createTable('two', 'near', 3),
      createTable('three', 'far', 7),
    ];
    for (const peer of peers) reader.merge(peer.deltasSince(new Map()));
    const view = new ClusterView(reader);
    expect(view.peerRequestsInFlight('engine')).to.equal(12);
    expect(view.peerRequestsInFlight('engine', 'near')).to.equal(5);
    expect(view.peerRequestsInFlight('engine', 'elsewhere')).to.equal(0);
    expect(view.peerRequestsInFlight('other', 'near')).to.equal(0);
  });
});
