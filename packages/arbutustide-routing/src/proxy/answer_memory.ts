/**
 * Part of each answer that needs no room: answers of this size are usual, and an
 * upstream whose answers have no end must not keep others from them.
 */
const FREE_BYTES = 64 * 1_024;
/** Room for all larger answers that are being read at the same time. */
const SHARED_BYTES = 32 * 1_024 * 1_024;

/** Bounds the memory of the answers that are read as a whole, over all requests. */
export class AnswerMemory {
  private sharedBytes = 0;

  /** Room for one answer; release it once the answer was read or given up. */
  open(): AnswerRoom {
    return new AnswerRoom(bytes => {
      if (this.sharedBytes + bytes > SHARED_BYTES) return false;
      this.sharedBytes += bytes;
      return true;
    });
  }
}

/** Room for one answer that is being read. */
export class AnswerRoom {
  private readBytes = 0;
  private takenBytes = 0;

  /** @param take takes shared room, or gives it back; false if none is left. */
  constructor(private readonly take: (bytes: number) => boolean) {}

  /** Takes room for the next bytes; false if there is none. */
  tryAdd(bytes: number): boolean {
    this.readBytes += bytes;
    const needed = Math.max(0, this.readBytes - FREE_BYTES) - this.takenBytes;
    if (needed <= 0) return true;
    if (!this.take(needed)) return false;
    this.takenBytes += needed;
    return true;
  }

  release(): void {
    this.take(-this.takenBytes);
    this.takenBytes = 0;
  }
}
