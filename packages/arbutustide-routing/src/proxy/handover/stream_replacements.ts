import type {AttemptMaker} from '../attempt_maker.js';
import type {AttemptSlot, AttemptTarget} from '../attempt_target.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {AttemptResult} from '../run_attempt.js';
import type {Handover, ReplacementPlace} from './handover.js';
import type {OpenStream} from './open_stream.js';

import {ReplacementAttempt} from './replacement_attempt.js';

/** What replacements need of the dispatcher. */
export interface StreamReplacementsOptions {
  readonly attempts: Pick<AttemptMaker, 'makeAttempt' | 'refuseToSend'>;
  readonly onReplacementFailed: (
    progress: RoutedRequestProgress,
    target: AttemptTarget,
    reason: string,
  ) => void;
}

/** Replaces attempts of streams by others, in one place after another. */
export class StreamReplacements {
  constructor(private readonly options: StreamReplacementsOptions) {}

  /** Begins to replace the attempt of a stream, which goes on meanwhile. */
  begin(stream: OpenStream, place: ReplacementPlace): void {
    const first = this.createReplacement(stream, place, place.slot);
    stream.handOver(this.awaitReplacement(stream, place, first), first);
  }

  /** Resolves to undefined if the stream stays at its upstream. */
  private async awaitReplacement(
    stream: OpenStream,
    place: ReplacementPlace,
    first: ReplacementAttempt,
  ): Promise<Handover | undefined> {
    const {progress} = stream;
    let replacement = first;
    let {slot} = place;
    for (;;) {
      const attempt = await this.startReplacement(replacement, slot);
      if (attempt) {
        const {isUrgent, isAfterInactivity = false, reason} = place;
        return {
          slot,
          reason,
          isUrgent,
          isAfterInactivity,
          attempt,
          takeFallback: async () => undefined,
          release: () => replacement.abandon(attempt),
        };
      }
      const {failureReason = '', isWithdrawn} = replacement;
      this.options.onReplacementFailed(progress, slot.target, failureReason);
      const isOver =
        isWithdrawn || stream.isClosed || progress.cancellation.isCancelled;
      const next =
        isOver || slot !== place.slot ? undefined : place.takeNextSlot();
      if (!next) {
        if (place.isUrgent && !isWithdrawn) stream.recordReplacementFailed();
        return undefined;
      }
      slot = next;
      replacement = this.createReplacement(stream, place, slot);
      stream.changeReplacement(replacement);
    }
  }

  /** Ends a replacement that fails unexpectedly; the stream stays. */
  private async startReplacement(
    replacement: ReplacementAttempt,
    slot: AttemptSlot,
  ): Promise<AttemptResult | undefined> {
    try {
      return await replacement.start();
    } catch (error) {
      replacement.fail(String(error));
      slot.release();
      return undefined;
    }
  }

  private createReplacement(
    stream: OpenStream,
    {isUrgent}: ReplacementPlace,
    slot: AttemptSlot,
  ): ReplacementAttempt {
    const {attempts} = this.options;
    const isWhereItWas = slot.target.upstream === stream.upstream;
    return new ReplacementAttempt({
      stream,
      slot,
      isUrgent,
      isMostUrgent: isUrgent && (stream.isMostUrgent || isWhereItWas),
      attempts,
    });
  }
}
