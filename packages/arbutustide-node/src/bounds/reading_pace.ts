/** Something whose reading can be paused. */
interface Source {
  pause(): unknown;
  resume(): unknown;
}

/** Beyond it each source is read once, and paused. */
const BYTES_PER_TURN = 1_024 * 1_024;
/** Of the paused sources, those that are read again in the next turn. */
const SOURCES_PER_TURN = 16;

/**
 * Bounds how much input is read in one turn of the event loop. The system reads up
 * to 2 MiB of each connection in a turn, more in all than the garbage collector
 * can free meanwhile.
 */
export class ReadingPace {
  private readonly paused = new Set<Source>();
  private turnBytes = 0;
  private isScheduled = false;

  /** Records a chunk of a source, which is paused if there were enough. */
  record(source: Source, bytes: number): void {
    this.schedule();
    this.turnBytes += bytes;
    if (this.turnBytes <= BYTES_PER_TURN) return;
    source.pause();
    this.paused.add(source);
  }

  /** Leaves a source as it is from now on. */
  forget(source: Source): void {
    this.paused.delete(source);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.beginTurn());
  }

  private beginTurn(): void {
    this.isScheduled = false;
    this.turnBytes = 0;
    let count = 0;
    for (const source of this.paused) {
      if (count === SOURCES_PER_TURN) break;
      count += 1;
      this.paused.delete(source);
      source.resume();
    }
    if (this.paused.size > 0) this.schedule();
  }
}

/** The pace of this thread's event loop. */
export const readingPace = new ReadingPace();
