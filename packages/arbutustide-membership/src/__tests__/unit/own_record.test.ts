import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';

import {
  LostUpstreamsSchema,
  NodeState,
  NodeStatusSchema,
  UpstreamDepartureSchema,
} from '../../gen/arbutustide/membership/v1/membership_pb.js';
import {OwnRecord} from '../../own_record.js';

const RETENTION_MILLISECONDS = 1_000;

function statusOf(state: NodeState, catalogueRevision = 1) {
  const value = create(NodeStatusSchema, {
    name: 'node',
    state,
    catalogueRevision,
  });
  return {case: 'status', value} as const;
}

function departureOf(upstreamStartedAt: bigint) {
  const value = create(UpstreamDepartureSchema, {
    upstreamId: 'upstream',
    upstreamStartedAt,
  });
  return {case: 'departure', value} as const;
}

describe('own record', () => {
  let record: OwnRecord;

  beforeEach(() => {
    record = new OwnRecord('node', RETENTION_MILLISECONDS);
  });

  it('does not send a value once more that has not changed', () => {
    record.set('status', statusOf(NodeState.READY));
    const {sequence} = record;
    record.set('status', statusOf(NodeState.READY));
    expect(record.sequence).to.equal(sequence);
  });

  it('does not keep a value back that has changed in one part', () => {
    record.set('status', statusOf(NodeState.READY));
    const {sequence} = record;
    record.set('status', statusOf(NodeState.READY, 2));
    expect(record.sequence).to.equal(sequence + 1);
    const value = record.get('status');
    expect(value?.case === 'status' && value.value.catalogueRevision).to.equal(
      2,
    );
  });

  it('does not take large numbers for each other', () => {
    record.set('departure', departureOf(9_007_199_254_740_993n));
    const {sequence} = record;
    record.set('departure', departureOf(9_007_199_254_740_993n));
    expect(record.sequence).to.equal(sequence);
    record.set('departure', departureOf(9_007_199_254_740_992n));
    expect(record.sequence).to.equal(sequence + 1);
  });

  it('does not overlook another kind of value, a removal or a longer list', () => {
    record.set('field', statusOf(NodeState.READY));
    record.set('field', departureOf(1n));
    expect(record.sequence).to.equal(2);
    record.remove('field');
    record.set('field', departureOf(1n));
    expect(record.sequence).to.equal(4);
    for (const upstreamIds of [['a'], ['a', 'b'], ['a', 'c']]) {
      const value = create(LostUpstreamsSchema, {upstreamIds});
      record.set('field', {case: 'lostUpstreams', value});
    }
    expect(record.sequence).to.equal(7);
  });
});
