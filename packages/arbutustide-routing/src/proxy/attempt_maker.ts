import type {RefusalError} from '@arbutustide/errors';

import type {AttemptSlot, AttemptSlotResult} from './attempt_target.js';
import type {DecisionRecorder} from './decision_recorder.js';
import type {AttemptStart} from './proxy_connector.js';
import type {ProxyDispatcherOptions} from './proxy_dispatcher_options.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {UpstreamSlot} from './queue/slot_queue_options.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {AttemptResult} from './run_attempt.js';
import type {RelayPeer} from './relay/request_relay.js';
import type {SlotQueue} from './slot_queue.js';

import {ErrorKind} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {quarantineRefusal} from '../dispatch_refusals.js';
import {AnswerMemory} from './answer_memory.js';
import {ENDLESS_ANSWER_PERIOD} from './answer_period.js';
import {AttemptOutcome, mayHaveRun} from './attempt_outcome.js';
import {InactivityTimeout} from './inactivity_timeout.js';
import {cancelledRefusal, withRanSoFar} from './proxy_refusals.js';
import {PeerTarget} from './relay/peer_target.js';
import {isRepeatable} from './route.js';
import {
  mayReachFurtherUpstream,
  ranSoFar,
  remainingForUpstream,
  remainingMilliseconds,
} from './routed_request_progress.js';
import {runAttempt} from './run_attempt.js';
import {UpstreamTarget} from './upstream_target.js';

/** Is told of an attempt while it is made. */
export interface AttemptFollower {
  /** The attempt is about to be sent. */
  beginAttempt(slot: AttemptSlot, inactivityTimeout: InactivityTimeout): void;
  /** The attempt has ended without a stream to read. */
  endAttempt(): void;
  /**
   * The upstream is inactive. Returns whether the attempt is to end, as the
   * next one has its place and its retry.
   *
   * @param isTargetSilent whether the upstream is lost or sends nothing to other
   *     requests either.
   */
  onInactive(isTargetSilent: boolean): boolean;
}

/** Finds places for the attempts of requests and makes them. */
export class AttemptMaker {
  private readonly answerMemory = new AnswerMemory();

  constructor(
    private readonly queue: SlotQueue,
    private readonly options: ProxyDispatcherOptions,
    private readonly decisions: DecisionRecorder,
  ) {}

  /**
   * A slot at an upstream or, if none can be reached, a place at a peer.
   *
   * @param reserved slot that was taken before; undefined to find one.
   */
  async acquireSlot(
    progress: RoutedRequestProgress,
    reserved?: AttemptSlot,
  ): Promise<AttemptSlotResult> {
    if (progress.cancellation.isCancelled) {
      reserved?.release();
      return Err(withRanSoFar(progress, cancelledRefusal(progress)));
    }
    if (reserved) return Ok(reserved);
    const slot = await this.queue.acquireSlot(progress);
    if (slot.ok) return Ok(this.withTarget(slot.val));
    if (slot.val.kind !== ErrorKind.UPSTREAM_UNREACHABLE) return slot;
    const {relay} = this.options;
    const peer = relay.choosePeer(progress);
    if (!peer) return slot;
    return Ok(this.createPeerSlot(progress, peer));
  }

  /** A slot that is free now, ahead of queued requests; undefined if none is. */
  tryTakeSlot(progress: RoutedRequestProgress): AttemptSlot | undefined {
    const slot = this.queue.tryTakeSlot(progress);
    return slot && this.withTarget(slot);
  }

  /**
   * A slot at one of the upstreams that the request was sent to before, except
   * the one where it is; undefined if none of them has room.
   */
  tryTakeEarlierSlot(
    progress: RoutedRequestProgress,
    current: ProxyUpstream | undefined,
  ): AttemptSlot | undefined {
    const {triedUpstreams} = progress;
    return this.tryTakeSlotAmong(
      progress,
      upstream => triedUpstreams.has(upstream) && upstream !== current,
    );
  }

  /** A slot at one of the candidates; undefined if none of them has room. */
  tryTakeSlotAmong(
    progress: RoutedRequestProgress,
    isCandidate: (upstream: ProxyUpstream) => boolean,
  ): AttemptSlot | undefined {
    const slot = this.queue.tryTakeSlotAmong(progress, isCandidate);
    return slot && this.withTarget(slot);
  }

  /** A slot at this upstream, whether it has a free one or not. */
  takeSlotAt(
    progress: RoutedRequestProgress,
    upstream: ProxyUpstream,
  ): AttemptSlot {
    return this.withTarget(this.queue.takeSlotAt(progress, upstream));
  }

  /** Sends the request to the place of the slot. */
  async makeAttempt(
    progress: RoutedRequestProgress,
    slot: AttemptSlot,
    start: AttemptStart,
    follower: AttemptFollower,
  ): Promise<AttemptResult> {
    const {target} = slot;
    target.recordChosen(progress);
    progress.attempts += 1;
    const inactivityTimeout = new InactivityTimeout(
      progress,
      target,
      isTargetSilent => follower.onInactive(isTargetSilent),
    );
    follower.beginAttempt(slot, inactivityTimeout);
    const {answerPeriod} = this.options;
    const remaining = remainingForUpstream(progress, answerPeriod);
    const attempt = await runAttempt(progress, {
      slot,
      start,
      inactivityTimeout,
      observed: target.observe(progress.request),
      beganAtMilliseconds: performance.now(),
      answerMemory: this.answerMemory,
      dueAtMilliseconds: performance.now() + remaining,
      isCurtailed:
        remaining < remainingForUpstream(progress, ENDLESS_ANSWER_PERIOD),
    });
    const isOpen = attempt.body === undefined && attempt.error === undefined;
    if (!isOpen) {
      slot.release(attempt.outcome === AttemptOutcome.ANSWERED);
      follower.endAttempt();
    }
    if (mayHaveRun(attempt.outcome)) progress.mayHaveRun = true;
    if (!countsAsReached(attempt)) progress.attempts -= 1;
    target.recordAttempt(progress, attempt);
    this.decisions.recordAttempt(progress, attempt, start);
    return attempt;
  }

  /** Why the request must not be sent to any upstream now, if so. */
  refuseToSend(progress: RoutedRequestProgress): RefusalError | undefined {
    const {poisonSegmentDetector, gate} = this.options;
    const {request} = progress;
    // The quarantine may have begun while the request was queued.
    if (poisonSegmentDetector.isQuarantined(request))
      return quarantineRefusal(ranSoFar(progress));
    return gate.check(request);
  }

  /** Consumes a retry, unless it would probably crash another upstream. */
  tryConsumeRetry(
    {request}: RoutedRequestProgress,
    mayHaveRunBefore: boolean,
  ): boolean {
    const {poisonSegmentDetector, tryConsumeRetry} = this.options;
    if (mayHaveRunBefore && poisonSegmentDetector.isSuspected(request))
      return false;
    return tryConsumeRetry(request.service);
  }

  /**
   * The place of an attempt that replaces one at an inactive upstream, with its
   * retry; undefined if none may be made now.
   */
  tryReservePlace(progress: RoutedRequestProgress): AttemptSlot | undefined {
    const {route} = progress.request;
    const isAllowed =
      isRepeatable(route) &&
      !progress.cancellation.isCancelled &&
      remainingMilliseconds(progress) > 0 &&
      mayReachFurtherUpstream(progress);
    if (!isAllowed) return undefined;
    const hasFreeSlot = this.queue.hasFreeSlot(progress);
    const peer =
      !hasFreeSlot && this.queue.isUnreachable(progress)
        ? this.options.relay.choosePeer(progress)
        : undefined;
    const canPlace = hasFreeSlot || peer !== undefined;
    if (!canPlace || !this.tryConsumeRetry(progress, true)) return undefined;
    return peer
      ? this.createPeerSlot(progress, peer)
      : this.tryTakeSlot(progress);
  }

  private createPeerSlot(
    {request}: RoutedRequestProgress,
    peer: RelayPeer,
  ): AttemptSlot {
    const target = new PeerTarget(peer, request.service, this.options.relay);
    return {target, waitedMilliseconds: 0, release: () => {}};
  }

  private withTarget(slot: UpstreamSlot): AttemptSlot {
    const {upstream, admission} = slot;
    const target = new UpstreamTarget(upstream, admission, this.options);
    return {...slot, target};
  }
}

/**
 * Whether an attempt counts against the upstreams that a route allows: it was
 * sent, and what it was meant for was there.
 */
function countsAsReached({outcome, head}: AttemptResult): boolean {
  const isMisdirected = head?.isOtherInstance ?? false;
  return outcome !== AttemptOutcome.NOT_CONNECTED && !isMisdirected;
}
