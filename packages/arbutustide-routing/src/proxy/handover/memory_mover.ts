import type {ProxyUpstream} from '../proxy_upstream.js';

/** What became of a run whose memory was to be moved. */
export enum MemoryMoveOutcome {
  /** The run has stopped and can go on from the copy at the target. */
  MOVED = 'moved',
  /** The run has stopped, and only its source holds the memory. */
  KEPT_AT_SOURCE = 'kept_at_source',
  /** The run goes on: no target has room for it. */
  NO_ROOM = 'no_room',
  /** The run goes on: the copy takes longer than it can be awaited. */
  TOO_SLOW = 'too_slow',
  /** The source moves it already. */
  BUSY = 'busy',
  /** The run goes on: the source does not run it now or moves no memory. */
  IMPOSSIBLE = 'impossible',
  /** The run goes on, and has made events since. */
  NOT_NEEDED = 'not_needed',
  /** There was no answer, so the run may have stopped. */
  UNKNOWN = 'unknown',
}

/** Whether a run has stopped for a move, and goes on from its memory. */
export function hasRunStopped(outcome: MemoryMoveOutcome): boolean {
  return (
    outcome === MemoryMoveOutcome.MOVED ||
    outcome === MemoryMoveOutcome.KEPT_AT_SOURCE
  );
}

/** Result of moving the memory of a run. */
export interface MemoryMove {
  readonly outcome: MemoryMoveOutcome;
  /** Where the run can go on from, if it has stopped. */
  readonly location?: string;
  /** Why the run goes on where it is, or what became of it is not known. */
  readonly reason?: string;
}

/** Result of copying the memory of a run that goes on. */
export interface MemoryCopy {
  /** Undefined if there is a copy. */
  readonly failure?: MemoryMoveOutcome;
  /** Where the run can go on from once it has stopped. */
  readonly location?: string;
  readonly reason?: string;
}

/** Moves the memory of runs from one upstream to another. */
export interface MemoryMover {
  /**
   * Copies the memory of the run of a request to another upstream, which keeps
   * a place for it. The run goes on whatever comes of it.
   */
  copyMemory(
    source: ProxyUpstream,
    target: ProxyUpstream,
    requestId: string,
    timeoutMilliseconds: number,
  ): Promise<MemoryCopy>;
  /**
   * Stops the run of a request and copies what the other upstream lacks.
   *
   * @param timeoutMilliseconds until the outcome counts as unknown; that of a
   *     short call if absent.
   */
  moveMemory(
    source: ProxyUpstream,
    target: ProxyUpstream,
    requestId: string,
    timeoutMilliseconds?: number,
  ): Promise<MemoryMove>;
  /** Gives up a copy that no run goes on from; it is dropped later if not. */
  dropCopy(source: ProxyUpstream, location: string): Promise<void>;
}
