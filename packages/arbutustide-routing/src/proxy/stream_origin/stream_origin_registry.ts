import type {StreamOrigin} from './stream_origin.js';

/** The origin of one stream, as nodes record it for each other. */
export interface StreamOriginRecord {
  /** Id of the caller's request that began the stream. */
  readonly requestId: string;
  readonly origin: StreamOrigin;
}

interface Entry {
  readonly origin: StreamOrigin;
  readonly recordedAtMilliseconds: number;
  /** Whether the stream began at this node, which alone tells others of it. */
  readonly isOwn: boolean;
}

/** Bounds the memory, should streams begin faster than they end. */
const MAXIMUM_ENTRIES = 20_000;

/** The origins of streams that began here or that other nodes told of. */
export class StreamOriginRegistry {
  /** By request; ordered by the time of recording. */
  private readonly entries = new Map<string, Entry>();

  /** @param retentionMilliseconds longest time that a stream may last. */
  constructor(private readonly retentionMilliseconds: () => number) {}

  /** Number of origins that are kept. */
  get size(): number {
    return this.entries.size;
  }

  add({requestId, origin}: StreamOriginRecord, isOwn: boolean): void {
    this.entries.delete(requestId);
    this.dropOldest();
    const recordedAtMilliseconds = performance.now();
    this.entries.set(requestId, {origin, recordedAtMilliseconds, isOwn});
  }

  remove(requestId: string): void {
    this.entries.delete(requestId);
  }

  find(requestId: string): StreamOrigin | undefined {
    const entry = this.entries.get(requestId);
    return entry && !this.isExpired(entry) ? entry.origin : undefined;
  }

  /** The streams of a service that began here and may still go on. */
  *ownRecords(service: string): Generator<StreamOriginRecord> {
    for (const [requestId, entry] of this.entries) {
      const {origin, isOwn} = entry;
      if (isOwn && origin.service === service && !this.isExpired(entry))
        yield {requestId, origin};
    }
  }

  private dropOldest(): void {
    for (const [requestId, entry] of this.entries) {
      if (!this.isExpired(entry) && this.entries.size < MAXIMUM_ENTRIES) return;
      this.entries.delete(requestId);
    }
  }

  private isExpired({recordedAtMilliseconds}: Entry): boolean {
    const age = performance.now() - recordedAtMilliseconds;
    return age > this.retentionMilliseconds();
  }
}
