/**
 * Guards against exchanges that lose records or heartbeats: after one exchange
 * in each direction both nodes know the same, for any fields and sequences.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';
import fc from 'fast-check';

import {
  formatSequences,
  parseSequences,
  readExchange,
  writeExchange,
} from '../../exchange_messages.js';
import {
  ExchangeRequestSchema,
  UpstreamLoadSchema,
} from '../../gen/arbutustide/membership/v1/membership_pb.js';
import {MemberTable} from '../../member_table.js';
import {OwnRecord} from '../../own_record.js';

const EXPIRY_MILLISECONDS = 3_500;

function createTable(identity: string): MemberTable {
  return new MemberTable(new OwnRecord(identity, 10_000), EXPIRY_MILLISECONDS);
}

function setLoad({ownRecord}: MemberTable, id: string, inFlight: number): void {
  const value = create(UpstreamLoadSchema, {upstreamId: id, inFlight});
  ownRecord.set(`load/${id}`, {case: 'load', value});
}

/** Sends what the receiver lacks, through the binary encoding. */
function send(from: MemberTable, to: MemberTable): void {
  const request = create(ExchangeRequestSchema, {
    sender: from.ownRecord.identity,
    ...writeExchange(from, parseSequences(formatSequences(to.sequences()))),
  });
  const bytes = toBinary(ExchangeRequestSchema, request);
  readExchange(to, fromBinary(ExchangeRequestSchema, bytes));
}

describe('exchange messages', () => {
  it('carry fields and heartbeats', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            writer: fc.nat({max: 1}),
            load: fc.option(fc.nat({max: 3})),
          }),
          {maxLength: 20},
        ),
        changes => {
          const tables = [createTable('http://one#1'), createTable('two 2')];
          for (const {writer, load} of changes) {
            if (load === null) tables[writer].ownRecord.recordHeartbeat();
            else setLoad(tables[writer], `upstream-${load}`, load);
            send(tables[writer], tables[1 - writer]);
          }
          const [one, two] = tables;
          for (const [reader, writer] of [
            [one, two],
            [two, one],
          ]) {
            const {identity, sequence} = writer.ownRecord;
            if (sequence === 0) continue;
            expect(reader.findRecord(identity)?.sequence).to.equal(sequence);
            expect([
              ...(reader.findRecord(identity)?.fields.keys() ?? []),
            ]).to.eql([...writer.ownRecord.fields()].map(({key}) => key));
          }
        },
      ),
      {seed: 20},
    );
  });

  it('skip malformed lines', () => {
    const sequences = parseSequences('one 1\n\nno-number x\n 7\ntwo 2');
    expect([...sequences]).to.eql([
      ['one', 1],
      ['two', 2],
    ]);
  });
});
