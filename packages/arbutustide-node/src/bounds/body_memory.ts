/** Larger bodies leave a share of the memory to small ones. */
const SMALL_BODY_BYTES = 16 * 1_024;
const LARGE_BODIES_SHARE = 0.75;
/** Bodies of the largest length that have room together in any case. */
const LEAST_BODIES = 2;

/**
 * Bounds the memory of the request bodies of a process, from their first bytes
 * until their requests are answered or their callers have left. If there is no
 * room, the unfinished body that holds most gives way. Whole bodies stay.
 */
export class BodyMemory {
  private readonly unfinished = new Set<BodyRoom>();
  private heldByAll = 0;
  private heldByLarge = 0;

  constructor(private readonly limitBytes: number) {}

  /** Bytes that bodies hold now. */
  get heldBytes(): number {
    return this.heldByAll;
  }

  /**
   * Room for one body.
   *
   * @param bodyLimitBytes largest length of a body.
   * @param onEvicted called when the room was taken away for another body.
   */
  open(bodyLimitBytes: number, onEvicted: () => void): BodyRoom {
    const room = new BodyRoom(this, bodyLimitBytes, onEvicted);
    this.unfinished.add(room);
    return room;
  }

  /** Changes the size of a room; false if there is not enough memory. */
  tryResize(room: BodyRoom, bytes: number): boolean {
    while (this.lacksMemory(room, bytes)) {
      const largest = this.findLargestUnfinished();
      if (!largest || largest.heldBytes <= bytes) return false;
      largest.evict();
    }
    this.account(room, bytes);
    return true;
  }

  /** From now on the room stays until it is released. */
  keep(room: BodyRoom): void {
    this.unfinished.delete(room);
  }

  release(room: BodyRoom): void {
    this.unfinished.delete(room);
    this.account(room, 0);
  }

  private lacksMemory(room: BodyRoom, bytes: number): boolean {
    const limit = Math.max(this.limitBytes, LEAST_BODIES * room.bodyLimitBytes);
    if (this.heldByAll - room.heldBytes + bytes > limit) return true;
    const byOtherLarge = this.heldByLarge - countIfLarge(room.heldBytes);
    return byOtherLarge + countIfLarge(bytes) > LARGE_BODIES_SHARE * limit;
  }

  private findLargestUnfinished(): BodyRoom | undefined {
    let largest: BodyRoom | undefined;
    for (const room of this.unfinished)
      if (room.heldBytes > (largest?.heldBytes ?? 0)) largest = room;
    return largest;
  }

  private account(room: BodyRoom, bytes: number): void {
    this.heldByAll += bytes - room.heldBytes;
    this.heldByLarge += countIfLarge(bytes) - countIfLarge(room.heldBytes);
    room.heldBytes = bytes;
  }
}

/** Room for the body of one request. */
export class BodyRoom {
  /** Written by the memory alone. */
  heldBytes = 0;

  constructor(
    private readonly memory: BodyMemory,
    readonly bodyLimitBytes: number,
    private readonly onEvicted: () => void,
  ) {}

  /** Changes the size of the room; false if there is not enough memory. */
  tryResize(bytes: number): boolean {
    return this.memory.tryResize(this, bytes);
  }

  /** The body is whole; its room stays until it is released. */
  keep(): void {
    this.memory.keep(this);
  }

  release(): void {
    this.memory.release(this);
  }

  evict(): void {
    this.release();
    this.onEvicted();
  }
}

function countIfLarge(bytes: number): number {
  return bytes > SMALL_BODY_BYTES ? bytes : 0;
}
