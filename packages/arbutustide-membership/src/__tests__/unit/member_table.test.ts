/**
 * Guards against records that stay different between nodes, or come back after
 * they expired, when gossip deltas are lost, repeated, reordered or late.
 */
import type {RecordDelta} from '../../gen/arbutustide/membership/v1/membership_pb.js';

import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {MemberTable, OwnRecord, UpstreamLoadSchema} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;
const EXPIRY_MILLISECONDS = 10_000;
const KEYS = ['load/a', 'load/b', 'load/c'];

function createTable(identity: string): MemberTable {
  const own = new OwnRecord(identity, 2 * EXPIRY_MILLISECONDS);
  return new MemberTable(own, EXPIRY_MILLISECONDS);
}

function setLoad(table: MemberTable, key: string, inFlight: number): void {
  const value = create(UpstreamLoadSchema, {upstreamId: key, inFlight});
  table.ownRecord.set(key, {case: 'load', value});
}

/** The load fields that a table has of a peer's record, as comparable text. */
function describeKnownFields(table: MemberTable, identity: string): string {
  const fields = [...(table.findRecord(identity)?.fields.values() ?? [])];
  return fields
    .filter(({value}) => value.case === 'load')
    .map(({key, sequence}) => `${key}:${sequence}`)
    .sort()
    .join();
}

/** The load fields of a table's own record, in the same form. */
function describeOwnFields(table: MemberTable): string {
  return [...table.ownRecord.fields()]
    .filter(({value}) => value.case === 'load')
    .map(({key, sequence}) => `${key}:${sequence}`)
    .sort()
    .join();
}

/** Writes and removals of fields; `isSent` sends a delta after the write. */
const writeSteps = fc.array(
  fc.record({
    key: fc.constantFrom(...KEYS),
    inFlight: fc.nat(5),
    isRemoval: fc.boolean(),
    isSent: fc.boolean(),
  }),
  {maxLength: 40, size: 'max'},
);

describe('member table', () => {
  it('converges when deltas are lost, repeated or reordered', () => {
    fc.assert(
      fc.property(
        writeSteps,
        fc.infiniteStream(fc.nat(100)),
        (steps, draws) => {
          const writer = createTable('writer');
          const reader = createTable('reader');
          const sent: RecordDelta[][] = [];
          for (const {key, inFlight, isRemoval, isSent} of steps) {
            if (isRemoval) writer.ownRecord.remove(key);
            else setLoad(writer, key, inFlight);
            if (isSent) {
              sent.push(writer.deltasSince(reader.sequences()));
            }
            const index = (draws.next().value ?? 0) % Math.max(1, sent.length);
            if (sent[index]) reader.merge(sent[index]);
          }
          reader.merge(writer.deltasSince(reader.sequences()));
          expect(describeKnownFields(reader, 'writer')).to.equal(
            describeOwnFields(writer),
          );
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('receives the record of a node through a third node', () => {
    const [first, middle, last] = ['1', '2', '3'].map(createTable);
    setLoad(first, 'load/a', 3);
    middle.merge(first.deltasSince(middle.sequences()));
    last.merge(middle.deltasSince(last.sequences()));
    expect(describeKnownFields(last, '1')).to.equal('load/a:1');
  });

  it('ignores a late delta of an expired record until it advances', () => {
    const clock = install({toFake: ['performance']});
    try {
      const writer = createTable('writer');
      const reader = createTable('reader');
      setLoad(writer, 'load/a', 1);
      const lateDeltas = writer.deltasSince(new Map());
      reader.merge(lateDeltas);
      clock.tick(EXPIRY_MILLISECONDS + 1);
      reader.dropExpired();
      reader.merge(lateDeltas);
      expect(reader.findRecord('writer')).to.equal(undefined);
      writer.ownRecord.recordHeartbeat();
      reader.merge(writer.deltasSince(reader.sequences()));
      expect(describeKnownFields(reader, 'writer')).to.equal('load/a:1');
    } finally {
      clock.uninstall();
    }
  });

  it('keeps the records of two processes at one address apart', () => {
    const reader = createTable('reader');
    const previous = createTable('10.0.0.1:7001#old');
    const restarted = createTable('10.0.0.1:7001#new');
    setLoad(previous, 'load/a', 4);
    setLoad(restarted, 'load/b', 1);
    reader.merge(previous.deltasSince(new Map()));
    reader.merge(restarted.deltasSince(new Map()));
    expect(describeKnownFields(reader, '10.0.0.1:7001#old')).to.equal(
      'load/a:1',
    );
    expect(describeKnownFields(reader, '10.0.0.1:7001#new')).to.equal(
      'load/b:1',
    );
  });
});
