import type {RecordDelta} from './gen/arbutustide/membership/v1/membership_pb.js';
import type {KnownSequences, MemberTable} from './member_table.js';

/** Fields that requests and answers of an exchange have in common. */
export interface ExchangedRecords {
  readonly vector: string;
  readonly deltas: RecordDelta[];
  readonly heartbeats: string;
}

/** Writes what a peer with these sequences lacks, and this node's sequences. */
export function writeExchange(
  table: MemberTable,
  knownByPeer: KnownSequences,
): ExchangedRecords {
  const deltas: RecordDelta[] = [];
  const heartbeats = new Map<string, number>();
  for (const delta of table.deltasSince(knownByPeer)) {
    const isWholeRecord = delta.since === 0;
    if (delta.fields.length > 0 || isWholeRecord) deltas.push(delta);
    else heartbeats.set(delta.identity, delta.sequence);
  }
  return {
    vector: formatSequences(table.sequences()),
    deltas,
    heartbeats: formatSequences(heartbeats),
  };
}

/** Merges what a peer sent. */
export function readExchange(
  table: MemberTable,
  {deltas, heartbeats}: Pick<ExchangedRecords, 'deltas' | 'heartbeats'>,
): void {
  table.merge(deltas);
  table.mergeHeartbeats(parseSequences(heartbeats));
}

/** Parses lines IDENTITY SEQUENCE; skips malformed ones. */
export function parseSequences(text: string): KnownSequences {
  const sequences = new Map<string, number>();
  for (const line of text.split('\n')) {
    const separator = line.lastIndexOf(' ');
    const sequence = Number(line.slice(separator + 1));
    if (separator > 0 && Number.isSafeInteger(sequence))
      sequences.set(line.slice(0, separator), sequence);
  }
  return sequences;
}

/** Formats sequences as lines IDENTITY SEQUENCE. */
export function formatSequences(sequences: KnownSequences): string {
  const lines: string[] = [];
  for (const [identity, sequence] of sequences)
    lines.push(`${identity} ${sequence}`);
  return lines.join('\n');
}
