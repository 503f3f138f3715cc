/** Requests that one node has in flight at one upstream. */
export interface PublishedLoad {
  readonly upstreamId: string;
  readonly inFlight: number;
}

/** Requests for one catalogue entry at one node. */
export interface PublishedDemand {
  readonly entry: string;
  readonly inFlight: number;
  readonly queued: number;
  /** The index is the priority; empty while none is queued. */
  readonly queuedByPriority: readonly number[];
}

const NO_PRIORITIES = '-';

/**
 * Formats loads as lines IN_FLIGHT UPSTREAM. All loads of a node change about as
 * often as it is gossiped, and one text takes less time than many messages.
 */
export function formatLoads(loads: Iterable<PublishedLoad>): string {
  const lines: string[] = [];
  for (const {upstreamId, inFlight} of loads)
    if (isOneLine(upstreamId)) lines.push(`${inFlight} ${upstreamId}`);
  return lines.join('\n');
}

/** Parses lines IN_FLIGHT UPSTREAM; skips malformed ones. */
export function* parseLoads(text: string): Generator<PublishedLoad> {
  for (const [[inFlight], upstreamId] of parseLines(text, 1)) {
    const count = Number(inFlight);
    if (isCount(count)) yield {upstreamId, inFlight: count};
  }
}

/** Formats demands as lines IN_FLIGHT QUEUED QUEUED_BY_PRIORITY ENTRY. */
export function formatDemands(demands: Iterable<PublishedDemand>): string {
  const lines: string[] = [];
  for (const {entry, inFlight, queued, queuedByPriority} of demands) {
    const priorities =
      queuedByPriority.length > 0 ? queuedByPriority.join(',') : NO_PRIORITIES;
    if (isOneLine(entry))
      lines.push(`${inFlight} ${queued} ${priorities} ${entry}`);
  }
  return lines.join('\n');
}

/** Parses lines IN_FLIGHT QUEUED QUEUED_BY_PRIORITY ENTRY; skips malformed ones. */
export function* parseDemands(text: string): Generator<PublishedDemand> {
  for (const [words, entry] of parseLines(text, 3)) {
    const [inFlight, queued] = words.map(Number);
    const queuedByPriority =
      words[2] === NO_PRIORITIES ? [] : words[2].split(',').map(Number);
    if ([inFlight, queued, ...queuedByPriority].every(isCount))
      yield {entry, inFlight, queued, queuedByPriority};
  }
}

/** Yields the first words of each line, and the rest of it. */
export function* parseLines(
  text: string,
  wordCount: number,
): Generator<readonly [string[], string]> {
  for (const line of text.split('\n')) {
    const words: string[] = [];
    let start = 0;
    while (words.length < wordCount) {
      const end = line.indexOf(' ', start);
      if (end < 0) break;
      words.push(line.slice(start, end));
      start = end + 1;
    }
    const rest = line.slice(start);
    if (words.length === wordCount && rest !== '') yield [words, rest];
  }
}

/** Whether a name can be the rest of a line. */
export function isOneLine(name: string): boolean {
  return name !== '' && !name.includes('\n');
}

/** Whether it is a whole number of at least zero. */
export function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
