import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {RoutedRequest} from './routed_request.js';

import {Ok} from 'ts-results';

/** What an admitted request has taken of its team's quota. */
export interface GateAdmission {
  /** Gives it back; called once if the request has certainly not run. */
  giveBack(): void;
}

/**
 * Decides whether a request may be sent, whatever upstream is chosen: by the
 * quota of its team, and by whether its key is known to be valid still.
 */
export interface RequestGate {
  /**
   * Called once, before the request is queued, unless a peer passes it on. The
   * peer that has it from its caller has admitted it.
   */
  admit(request: RoutedRequest): Promise<Result<GateAdmission, RefusalError>>;
  /** Called right before each attempt; a refusal means that it is not sent. */
  check(request: RoutedRequest): RefusalError | undefined;
}

/** Admits every request. */
export const OPEN_GATE: RequestGate = {
  admit: async () => Ok({giveBack: () => {}}),
  check: () => undefined,
};
