import type {BodyRoom} from './body_memory.js';

const SMALLEST_CAPACITY_BYTES = 1_024;

/**
 * The bytes of a body that have come, copied together: a chunk of one byte costs
 * no object of its own and keeps no buffer of the socket alive.
 */
export class BodyBuffer {
  private buffer = Buffer.alloc(0);
  private length = 0;

  /** @param mostBytes largest length that the body can have. */
  constructor(
    private readonly room: BodyRoom,
    private readonly mostBytes: number,
  ) {}

  get lengthBytes(): number {
    return this.length;
  }

  /** The bytes so far, without a copy. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Appends a chunk; false if there is no room for it. */
  tryAppend(chunk: Buffer): boolean {
    const neededBytes = this.length + chunk.length;
    if (neededBytes > this.buffer.length && !this.tryGrow(neededBytes))
      return false;
    this.length += chunk.copy(this.buffer, this.length);
    return true;
  }

  private tryGrow(neededBytes: number): boolean {
    const doubled = Math.max(2 * this.buffer.length, SMALLEST_CAPACITY_BYTES);
    const capacity = Math.max(neededBytes, Math.min(doubled, this.mostBytes));
    if (!this.room.tryResize(capacity)) return false;
    // Unpooled: a slice of a shared pool would keep the whole pool alive.
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.length);
    this.buffer = grown;
    return true;
  }
}
