import type {AttemptSlot} from '../attempt_target.js';
import type {AttemptResult} from '../run_attempt.js';
import type {PlaceInStop, PlacesOfStream} from './places_in_stop.js';

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
  /** The next place, for when this one does not take it. */
  readonly takeFallback: () => Promise<Handover | undefined>;
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

/** What the handovers to all places of one stream have in common. */
export type HandoverTerms = Pick<
  ReplacementPlace,
  'reason' | 'isUrgent' | 'isAfterInactivity'
>;

/**
 * A handover whose attempt is yet to be made.
 *
 * @param further places for when this one does not take it.
 */
export function createHandover(
  {slot, memoryLocation}: PlaceInStop,
  terms: HandoverTerms,
  further?: PlacesOfStream,
): Handover {
  const {reason, isUrgent, isAfterInactivity = false} = terms;
  return {
    slot,
    reason,
    isUrgent,
    isAfterInactivity,
    memoryLocation,
    takeFallback: () => takeNextHandover(terms, further),
    release: () => slot.release(),
  };
}

/** The handover to the next of some places; undefined if there is none. */
export async function takeNextHandover(
  terms: HandoverTerms,
  places: PlacesOfStream | undefined,
): Promise<Handover | undefined> {
  const next = await places?.next();
  if (!next || next.done) return undefined;
  return createHandover(next.value, terms, places);
}
