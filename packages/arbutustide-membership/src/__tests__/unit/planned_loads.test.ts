/**
 * Guards against waits that go by a planner that was replaced, and against waits
 * that depend on when they are read.
 */
import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PlannedLoadsSchema} from '../../gen/arbutustide/membership/v1/membership_pb.js';
import {
  ClusterView,
  formatPlannedLoads,
  MemberTable,
  OwnRecord,
  PLANNED_LOADS_KEY,
} from '../../index.js';

const EXPIRY_MILLISECONDS = 10_000;

function createRecord(identity: string, epoch: number, loads: string) {
  const record = new OwnRecord(identity, EXPIRY_MILLISECONDS);
  const value = create(PlannedLoadsSchema, {epoch, loads});
  record.set(PLANNED_LOADS_KEY, {case: 'plannedLoads', value});
  return record;
}

function createView(own: OwnRecord, ...peers: OwnRecord[]): ClusterView {
  const table = new MemberTable(own, EXPIRY_MILLISECONDS);
  for (const {identity, sequence, fields} of peers.map(peer => ({
    identity: peer.identity,
    sequence: peer.sequence,
    fields: [...peer.fields()],
  })))
    table.merge([
      {
        $typeName: 'arbutustide.membership.v1.RecordDelta',
        identity,
        sequence,
        since: 0,
        fields,
      },
    ]);
  return new ClusterView(table);
}

describe('planned loads', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  it('are read as they were written, and malformed lines left out', () => {
    const loads = formatPlannedLoads([
      ['engines/a model', 1_500.2],
      ['engines/huge', Infinity],
      ['engines/late', -3],
      ['two\nlines', 1],
    ]);
    const broken = `${loads}\nsoon engines/b\n5\n-1 engines/c`;
    const view = createView(createRecord('own', 1, broken));
    expect([...view.expectedLoads()]).to.eql([
      ['engines/a model', 1_501],
      ['engines/huge', Infinity],
      ['engines/late', 0],
    ]);
  });

  it('count from their arrival, however often they are read', async () => {
    const view = createView(
      new OwnRecord('own', EXPIRY_MILLISECONDS),
      createRecord('planner', 2, '1000 engines/a'),
    );
    view.nodes();
    await clock.tickAsync(700);
    expect(view.expectedLoads().get('engines/a')).to.equal(1_000);
  });

  it('are those of the latest planner, a peer or this node', () => {
    const old = createRecord('old', 2, '1 engines/a');
    const latest = createRecord('latest', 3, '2 engines/a');
    for (const [own, ...peers] of [
      [createRecord('own', 1, '3 engines/a'), old, latest],
      [createRecord('own', 1, '3 engines/a'), latest, old],
      [latest, old],
    ]) {
      const expected = createView(own, ...peers).expectedLoads();
      expect(expected.get('engines/a')).to.equal(2);
    }
  });

  it('are none once they were withdrawn', () => {
    const own = createRecord('own', 1, '3 engines/a');
    own.remove(PLANNED_LOADS_KEY);
    expect(createView(own).expectedLoads().size).to.equal(0);
  });
});
