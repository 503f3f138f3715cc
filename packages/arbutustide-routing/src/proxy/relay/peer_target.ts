import type {RefusalError} from '@arbutustide/errors';
import type {Result} from 'ts-results';

import type {AttemptTarget} from '../attempt_target.js';
import type {AttemptOptions, UpstreamResponseHead} from '../proxy_connector.js';
import type {RequestDecision} from '../request_decision.js';
import type {RoutedRequestProgress} from '../routed_request_progress.js';
import type {StreamOrigin} from '../stream_origin/stream_origin.js';
import type {RelayedHead, RelayPeer, RequestRelay} from './request_relay.js';
import type {AttemptError} from '@arbutustide/upstream';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {Err} from 'ts-results';

/** Refusals that say that another peer may serve the request. */
const REFUSALS_TO_TRY_ANOTHER_PEER: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.UPSTREAM_UNREACHABLE,
  ErrorKind.NOT_READY,
  ErrorKind.CONFIGURATION_UNCONFIRMED,
]);

/** A peer that makes the attempt in this node's place. */
export class PeerTarget implements AttemptTarget {
  readonly upstream = undefined;
  private head: RelayedHead | undefined;
  private refusal: RefusalError | undefined;
  private lastDataAtMilliseconds = performance.now();

  constructor(
    private readonly peer: RelayPeer,
    private readonly service: string,
    private readonly relay: RequestRelay,
  ) {}

  get upstreamId(): string {
    return this.head?.upstreamId ?? '';
  }

  get origin(): StreamOrigin {
    return this.head?.origin ?? {service: this.service, softwareVersion: ''};
  }

  get decisionFields(): Partial<RequestDecision> {
    return {
      peer: this.peer.name,
      ...(this.head && {upstream: this.upstreamId}),
    };
  }

  get silentMilliseconds(): number {
    return performance.now() - this.lastDataAtMilliseconds;
  }

  get finalRefusal(): RefusalError | undefined {
    return this.refusal;
  }

  /** The peer observes the attempts that it makes. */
  observe(): undefined {}

  recordChosen({triedPeers}: RoutedRequestProgress): void {
    triedPeers.add(this.peer.identity);
  }

  async sendRequest(
    progress: RoutedRequestProgress,
    {resumeAfterEventId, cancellation}: AttemptOptions,
  ): Promise<Result<UpstreamResponseHead, AttemptError>> {
    const {request, mayHaveRun, origin} = progress;
    // The attempt that the origin node has just counted is the peer's first.
    const attempts = progress.attempts - 1;
    const answer = await this.relay.sendRequest(
      this.peer,
      request,
      {attempts, mayHaveRun, origin, resumeAfterEventId},
      cancellation,
    );
    if (answer.ok) {
      this.head = answer.val;
      progress.attempts = attempts + answer.val.attempts;
      return answer;
    }
    const {error, refusal} = answer.val;
    if (refusal) this.applyRefusal(refusal);
    return Err(error);
  }

  recordHead(): void {
    this.recordActivity();
  }

  /** Sessions with peers are checked anyway. */
  probePath(): void {}

  recordActivity(): void {
    this.lastDataAtMilliseconds = performance.now();
  }

  /** The peer records what its attempts tell of upstreams. */
  recordAttempt(): void {}

  recordBrokenStream(): void {}

  onLost(): () => void {
    return () => {};
  }

  private applyRefusal(refusal: RefusalError): void {
    // A peer that stops may have sent it; a repeatable one is sent elsewhere.
    const mayTryAnother =
      refusal.kind === ErrorKind.NOT_READY ||
      (refusal.ran === ExecutionStatus.NOT_EXECUTED &&
        REFUSALS_TO_TRY_ANOTHER_PEER.has(refusal.kind));
    if (mayTryAnother) this.relay.recordNoPath(this.peer, this.service);
    else this.refusal = refusal;
  }
}
