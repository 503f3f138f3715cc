/**
 * Guards against messages that nodes of the last landing cannot read or write,
 * and against records of a later build that are lost on their way through nodes
 * of this one.
 */
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';

import {
  FieldSchema,
  NodeState,
  NodeStatusSchema,
  RecordDeltaSchema,
} from '../../gen/arbutustide/membership/v1/membership_pb.js';
import {MemberTable, OwnRecord} from '../../index.js';

const BUF = 'node_modules/.bin/buf';
/** Messages of the last landing; see docs/INTERFACES.md. */
const LANDED_IMAGE = 'packages/arbutustide-membership/landed/membership.binpb';
const PROTO_DIRECTORY = 'packages/arbutustide-membership/proto';
const PROTO_FILE = 'arbutustide/membership/v1/membership.proto';
const EXPIRY_MILLISECONDS = 10_000;
/** A field 200 of the type `bytes` with one byte, as a later build has it. */
const LATER_FIELD = Buffer.from([0xc2, 0x0c, 0x01, 0x07]);

/** What `buf` reports of the messages with a text replaced. */
function findBreakingChanges(before: string, after: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'arbutustide-proto-'));
  try {
    cpSync(PROTO_DIRECTORY, directory, {recursive: true});
    const file = join(directory, PROTO_FILE);
    const text = readFileSync(file, 'utf8');
    expect(text).to.include(before);
    writeFileSync(file, text.replace(before, after));
    const {status, stdout, stderr, error} = spawnSync(
      BUF,
      [
        'breaking',
        directory,
        '--against',
        LANDED_IMAGE,
        '--config',
        readFileSync('buf.yaml', 'utf8').replace(PROTO_DIRECTORY, '.'),
      ],
      {encoding: 'utf8'},
    );
    if (error) throw error;
    return status === 0 ? '' : `${stdout}${stderr}`;
  } finally {
    rmSync(directory, {recursive: true});
  }
}

describe('messages between nodes', function () {
  this.timeout(30_000);

  it('are compatible with those of the last landing', () => {
    expect(findBreakingChanges('', '')).to.equal('');
  });

  for (const [title, before, after, report] of [
    [
      'a field has another type',
      'string peer_url = 2;',
      'uint32 peer_url = 2;',
      'Field "2"',
    ],
    [
      'a number is free to be used again',
      'string peer_url = 2;',
      '',
      'field "2"',
    ],
    [
      'a call is gone',
      'rpc Watch(WatchRequest) returns (WatchResponse);',
      '',
      'RPC "Watch"',
    ],
  ]) {
    it(`are found incompatible when ${title}`, () => {
      expect(findBreakingChanges(before, after)).to.include(report);
    });
  }

  it('pass on a record whose fields this build does not know, as it is', () => {
    const later = Buffer.concat([
      toBinary(FieldSchema, create(FieldSchema, {key: 'later', sequence: 1})),
      LATER_FIELD,
    ]);
    const field = fromBinary(FieldSchema, later);
    const delta = create(RecordDeltaSchema, {
      identity: 'peer',
      sequence: 1,
      fields: [field],
    });
    const own = new OwnRecord('self', 2 * EXPIRY_MILLISECONDS);
    const table = new MemberTable(own, EXPIRY_MILLISECONDS);
    table.merge([
      fromBinary(RecordDeltaSchema, toBinary(RecordDeltaSchema, delta)),
    ]);
    const forwarded = table
      .deltasSince(new Map())
      .find(({identity}) => identity === 'peer');
    const [sent] = forwarded?.fields ?? [];
    expect(Buffer.from(toBinary(FieldSchema, sent))).to.eql(later);
  });

  it('keep the number of a state that this build does not know', () => {
    const known = create(NodeStatusSchema, {state: NodeState.READY});
    const unknown = {...known, state: 9 as NodeState};
    const bytes = toBinary(NodeStatusSchema, unknown);
    expect(fromBinary(NodeStatusSchema, bytes).state).to.equal(9);
  });
});
