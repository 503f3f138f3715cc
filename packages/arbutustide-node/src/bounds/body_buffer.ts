import type {BodyRoom} from './body_memory.js';

const SMALLEST_CAPACITY_BYTES = 1_024;
const BLOCK_BYTES = 65_536;
const MOST_FREE_BLOCKS = 128;

/** Blocks that are used again: freed ones wait for the garbage collector. */
const freeBlocks: Buffer[] = [];

/**
 * The bytes of a body that have come, copied together: a chunk of one byte costs
 * no object of its own and keeps no buffer of the socket alive.
 */
export class BodyBuffer {
  private readonly fullBlocks: Buffer[] = [];
  private block: Buffer = Buffer.alloc(0);
  private blockBytes = 0;

  /** @param mostBytes largest length that the body can have. */
  constructor(
    private readonly room: BodyRoom,
    private readonly mostBytes: number,
  ) {}

  get lengthBytes(): number {
    return this.fullBlocks.length * BLOCK_BYTES + this.blockBytes;
  }

  /** Appends a chunk; false if there is no room for it. */
  tryAppend(chunk: Buffer): boolean {
    let from = 0;
    while (from < chunk.length) {
      const rest = chunk.length - from;
      const isFull = this.blockBytes === this.block.length;
      if (isFull && !this.tryGrow(this.blockBytes + rest)) return false;
      const copied = chunk.copy(this.block, this.blockBytes, from);
      this.blockBytes += copied;
      from += copied;
    }
    return true;
  }

  /** Ends its use and returns its bytes. */
  takeBytes(): Buffer {
    // Unpooled: a slice of a shared pool would keep the whole pool alive.
    const bytes = Buffer.allocUnsafeSlow(this.lengthBytes);
    let to = 0;
    for (const block of this.fullBlocks) to += block.copy(bytes, to);
    this.block.copy(bytes, to, 0, this.blockBytes);
    this.clear();
    return bytes;
  }

  /** Gives its memory back. */
  clear(): void {
    for (const block of [...this.fullBlocks.splice(0), this.block])
      if (block.length === BLOCK_BYTES && freeBlocks.length < MOST_FREE_BLOCKS)
        freeBlocks.push(block);
    this.block = Buffer.alloc(0);
    this.blockBytes = 0;
  }

  private tryGrow(neededBytes: number): boolean {
    const isBlockFull = this.block.length === BLOCK_BYTES;
    const held = this.fullBlocks.length + Number(isBlockFull);
    const left = this.mostBytes - held * BLOCK_BYTES;
    const doubled = Math.max(2 * this.block.length, SMALLEST_CAPACITY_BYTES);
    const wanted = Math.max(neededBytes, Math.min(doubled, left));
    const capacity = isBlockFull ? BLOCK_BYTES : Math.min(wanted, BLOCK_BYTES);
    if (!this.room.tryResize(held * BLOCK_BYTES + capacity)) return false;
    const grown =
      capacity === BLOCK_BYTES
        ? (freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES))
        : Buffer.allocUnsafeSlow(capacity);
    if (isBlockFull) {
      this.fullBlocks.push(this.block);
      this.blockBytes = 0;
    } else this.block.copy(grown, 0, 0, this.blockBytes);
    this.block = grown;
    return true;
  }
}
