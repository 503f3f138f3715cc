import type {AttemptSlot} from '../attempt_target.js';
import type {AttemptResult} from '../run_attempt.js';

/** Where a request goes on whose attempt this node ends. */
export interface Handover {
  readonly slot: AttemptSlot;
  /** Why this node ends the attempt. */
  readonly reason: string;
  /** Whether this node ends it because its upstream was inactive. */
  readonly isAfterInactivity: boolean;
  /** Whether its next upstream is told to serve it before others. */
  readonly isUrgent: boolean;
  /** The attempt that goes on with it; undefined if it is yet to be made. */
  readonly attempt?: AttemptResult;
  /** Copy of memory that the run goes on from; undefined to read it anew. */
  readonly memoryLocation?: string;
  /** Where the stream was, for when the other place does not take it. */
  readonly takeFallback: () => Handover | undefined;
  /** Gives up the place, and the attempt if there is one. */
  readonly release: () => void;
}

/** Where a replacement is made, and where if that place does not take it. */
export interface ReplacementPlace {
  readonly slot: AttemptSlot;
  readonly reason: string;
  readonly isUrgent: boolean;
  readonly isAfterInactivity?: boolean;
  readonly takeNextSlot: () => AttemptSlot | undefined;
}

/**
 * A handover whose attempt is yet to be made.
 *
 * @param memoryLocation copy of memory that the run goes on from, if it does.
 */
export function createHandover(
  place: ReplacementPlace,
  memoryLocation?: string,
): Handover {
  const {slot, reason, isUrgent, isAfterInactivity = false} = place;
  return {
    slot,
    reason,
    isUrgent,
    isAfterInactivity,
    memoryLocation,
    takeFallback: () => {
      const next = place.takeNextSlot();
      if (!next) return undefined;
      const nextPlace = {...place, slot: next, takeNextSlot: () => undefined};
      return createHandover(nextPlace, memoryLocation);
    },
    release: () => slot.release(),
  };
}
