import type {RecordDelta} from '../../gen/arbutustide/membership/v1/membership_pb.js';

import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import {
  MemberTable,
  OwnRecord,
  toVector,
  UpstreamLoadSchema,
} from '../../index.js';

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
  table.own.set(key, {case: 'load', value});
}

/** What one table knows of another's record, as text to compare. */
function known(table: MemberTable, identity: string): string {
  const fields = [...(table.record(identity)?.fields.values() ?? [])];
  return fields
    .filter(({value}) => value.case === 'load')
    .map(({key, sequence}) => `${key}:${sequence}`)
    .sort()
    .join();
}

function ownFields(table: MemberTable): string {
  return [...table.own.fields()]
    .filter(({value}) => value.case === 'load')
    .map(({key, sequence}) => `${key}:${sequence}`)
    .sort()
    .join();
}

const writes = fc.array(
  fc.record({
    key: fc.constantFrom(...KEYS),
    inFlight: fc.nat(5),
    isRemoval: fc.boolean(),
    isSent: fc.boolean(),
  }),
  {maxLength: 40, size: 'max'},
);

describe('member table', () => {
  it('ends the same whatever deltas are lost, repeated or reordered', () => {
    fc.assert(
      fc.property(writes, fc.infiniteStream(fc.nat(100)), (steps, draws) => {
        const writer = createTable('writer');
        const reader = createTable('reader');
        const sent: RecordDelta[][] = [];
        for (const {key, inFlight, isRemoval, isSent} of steps) {
          if (isRemoval) writer.own.remove(key);
          else setLoad(writer, key, inFlight);
          if (isSent) {
            sent.push(writer.deltasSince(toVector(reader.vector())));
          }
          const index = (draws.next().value ?? 0) % Math.max(1, sent.length);
          if (sent[index]) reader.merge(sent[index]);
        }
        reader.merge(writer.deltasSince(toVector(reader.vector())));
        expect(known(reader, 'writer')).to.equal(ownFields(writer));
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('learns over a third node what it did not hear itself', () => {
    const [first, middle, last] = ['1', '2', '3'].map(createTable);
    setLoad(first, 'load/a', 3);
    middle.merge(first.deltasSince(toVector(middle.vector())));
    last.merge(middle.deltasSince(toVector(last.vector())));
    expect(known(last, '1')).to.equal('load/a:1');
  });

  it('does not let a late delta revive a dropped record', () => {
    const clock = install({toFake: ['performance']});
    try {
      const writer = createTable('writer');
      const reader = createTable('reader');
      setLoad(writer, 'load/a', 1);
      const old = writer.deltasSince(new Map());
      reader.merge(old);
      clock.tick(EXPIRY_MILLISECONDS + 1);
      reader.dropExpired();
      reader.merge(old);
      expect(reader.record('writer')).to.equal(undefined);
      writer.own.beat();
      reader.merge(writer.deltasSince(toVector(reader.vector())));
      expect(known(reader, 'writer')).to.equal('load/a:1');
    } finally {
      clock.uninstall();
    }
  });

  it('keeps the record of a new process apart from that of the old', () => {
    const reader = createTable('reader');
    const old = createTable('10.0.0.1:7001#old');
    const fresh = createTable('10.0.0.1:7001#new');
    setLoad(old, 'load/a', 4);
    setLoad(fresh, 'load/b', 1);
    reader.merge(old.deltasSince(new Map()));
    reader.merge(fresh.deltasSince(new Map()));
    expect(known(reader, '10.0.0.1:7001#old')).to.equal('load/a:1');
    expect(known(reader, '10.0.0.1:7001#new')).to.equal('load/b:1');
  });
});
