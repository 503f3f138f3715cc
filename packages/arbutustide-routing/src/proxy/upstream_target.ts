import type {AttemptError} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {AttemptTarget} from './attempt_target.js';
import type {PendingAdmission} from './brittleness/upstream_admission.js';
import type {ObservedAttempt} from './crash_attribution/observed_attempt.js';
import type {PoisonSegmentDetector} from './crash_attribution/poison_segment_detector.js';
import type {
  AttemptOptions,
  ProxyConnector,
  UpstreamResponseHead,
  UpstreamSignalsHandler,
} from './proxy_connector.js';
import type {ProxyUpstream} from './proxy_upstream.js';
import type {RequestDecision} from './request_decision.js';
import type {ModelReference} from './route.js';
import type {RoutedRequest} from './routed_request.js';
import type {RoutedRequestProgress} from './routed_request_progress.js';
import type {AttemptResult} from './run_attempt.js';
import type {StreamOrigin} from './stream_origin/stream_origin.js';
import type {PoisonRequestDetector} from '../poison_request_detector.js';

import {AttemptFailure} from '@arbutustide/upstream';

import {mayHaveRun} from './attempt_outcome.js';

/** What a node learns about the paths to upstreams from attempts. */
export interface PathObserver {
  /** A connection could not be opened in an attempt that began then. */
  recordNoPath(upstream: ProxyUpstream, beganAtMilliseconds: number): void;
  /** An upstream did not answer in time. */
  suspect(upstream: ProxyUpstream): void;
  /** Does something once this node's path has proved to be in order. */
  whenOthersAnswer(upstream: ProxyUpstream, action: () => void): void;
}

/** Receivers of what attempts tell of upstreams. */
export interface UpstreamTargetOptions {
  readonly connector: ProxyConnector;
  readonly onSignals: UpstreamSignalsHandler;
  /** Called when an upstream turns out not to hold a model. */
  readonly onModelMissing: (
    upstream: ProxyUpstream,
    model: ModelReference,
  ) => void;
  readonly paths: PathObserver;
  readonly poisonRequestDetector: PoisonRequestDetector;
  readonly poisonSegmentDetector: PoisonSegmentDetector;
}

/** Failures by which this node ended the attempt itself. */
const OWN_FAILURES: ReadonlySet<AttemptFailure> = new Set([
  AttemptFailure.NOT_SENT,
  AttemptFailure.CANCELLED,
]);

/** What a failed attempt tells of whether its upstream survived it. */
const CRASH_EVIDENCE_BY_FAILURE: Readonly<
  Record<AttemptFailure, (observed: ObservedAttempt | undefined) => void>
> = {
  [AttemptFailure.NOT_CONNECTED]: () => {},
  [AttemptFailure.NOT_SENT]: () => {},
  [AttemptFailure.CONNECTION_LOST]: observed => observed?.recordBroken(),
  [AttemptFailure.INACTIVITY_TIMEOUT]: observed => observed?.recordBroken(),
  [AttemptFailure.CANCELLED]: observed => observed?.recordCancelled(),
  [AttemptFailure.PROTOCOL_VIOLATION]: () => {},
};

/** An upstream to which this node sends an attempt itself. */
export class UpstreamTarget implements AttemptTarget {
  readonly finalRefusal = undefined;
  private beganAtMilliseconds = performance.now();

  constructor(
    readonly upstream: ProxyUpstream,
    private readonly admission: PendingAdmission,
    private readonly options: UpstreamTargetOptions,
  ) {}

  get upstreamId(): string {
    return this.upstream.id;
  }

  get origin(): StreamOrigin {
    const {service, softwareVersion} = this.upstream.description;
    return {service, softwareVersion};
  }

  get decisionFields(): Partial<RequestDecision> {
    const {id, description, estimatedInFlight} = this.upstream;
    return {
      upstream: id,
      softwareVersion: description.softwareVersion,
      load: estimatedInFlight,
    };
  }

  get silentMilliseconds(): number {
    return this.upstream.silentMilliseconds;
  }

  observe(request: RoutedRequest): ObservedAttempt | undefined {
    return this.options.poisonSegmentDetector.observe(
      request,
      this.upstream.description,
    );
  }

  recordChosen({triedUpstreams}: RoutedRequestProgress): void {
    triedUpstreams.add(this.upstream);
  }

  sendRequest(
    {request}: RoutedRequestProgress,
    options: AttemptOptions,
  ): Promise<Result<UpstreamResponseHead, AttemptError>> {
    this.beganAtMilliseconds = performance.now();
    return this.options.connector.sendRequest(this.upstream, request, options);
  }

  probePath(): void {
    this.options.paths.suspect(this.upstream);
  }

  recordHead(head: UpstreamResponseHead, sentAtMilliseconds: number): void {
    const {upstream} = this;
    upstream.reachability.recordAnswer(sentAtMilliseconds);
    this.admission.settle(head.isNotRun && !head.isOtherInstance);
    if (head.load) upstream.recordReportedLoad(head.load);
    if (isRunByUpstream(head))
      upstream.responseTime.record(performance.now() - sentAtMilliseconds);
    this.options.onSignals(
      upstream,
      head,
      isRunByUpstream(head) ? sentAtMilliseconds : undefined,
    );
  }

  recordActivity(): void {
    this.upstream.reachability.recordData();
  }

  recordAttempt(progress: RoutedRequestProgress, attempt: AttemptResult): void {
    this.recordCrashEvidence(attempt);
    const {error, head} = attempt;
    if (error) {
      this.recordFailure(progress, error);
      return;
    }
    this.upstream.recordSuccess();
    const {modelRequest} = progress.request;
    if (head?.isOtherInstance && modelRequest)
      this.options.onModelMissing(this.upstream, modelRequest);
  }

  recordBrokenStream(
    progress: RoutedRequestProgress,
    wasInactive: boolean,
  ): void {
    if (wasInactive) {
      this.recordSilence();
      return;
    }
    this.upstream.recordFailure();
    this.recordPossibleCrash(progress);
  }

  onLost(listener: () => void): () => void {
    return this.upstream.reachability.onPresumedLost(listener);
  }

  private recordFailure(
    progress: RoutedRequestProgress,
    {failure}: AttemptError,
  ): void {
    const {upstream, options} = this;
    if (OWN_FAILURES.has(failure)) return;
    if (failure === AttemptFailure.NOT_CONNECTED) {
      options.paths.recordNoPath(upstream, this.beganAtMilliseconds);
      return;
    }
    if (failure === AttemptFailure.INACTIVITY_TIMEOUT) {
      this.recordSilence();
      return;
    }
    upstream.recordFailure();
    options.paths.suspect(upstream);
    if (failure === AttemptFailure.CONNECTION_LOST)
      this.recordPossibleCrash(progress);
  }

  private recordSilence(): void {
    this.upstream.recordSilence(this.beganAtMilliseconds);
    this.options.paths.suspect(this.upstream);
  }

  /** Counts a crash while the request ran, unless this node lost its path. */
  private recordPossibleCrash(progress: RoutedRequestProgress): void {
    const {paths, poisonRequestDetector} = this.options;
    paths.whenOthersAnswer(this.upstream, () => {
      // A whole answer since then has exonerated the request.
      if (!progress.isAnsweredWhole)
        poisonRequestDetector.recordCrash(progress.fingerprint);
    });
  }

  /** Records whether the upstream survived an attempt that has ended. */
  private recordCrashEvidence({
    observed,
    outcome,
    body,
    error,
  }: AttemptResult): void {
    const {paths, poisonSegmentDetector} = this.options;
    if (error?.isRefused) {
      paths.whenOthersAnswer(this.upstream, () =>
        poisonSegmentDetector.recordUnreachable(this.upstream.description),
      );
    }
    if (error) CRASH_EVIDENCE_BY_FAILURE[error.failure](observed);
    else if (body !== undefined && mayHaveRun(outcome)) observed?.recordWhole();
  }
}

/**
 * Whether the upstream has run the request, so that its answer tells whether it
 * still names a limit. A rejection may come from another process.
 */
function isRunByUpstream(head: UpstreamResponseHead): boolean {
  return head.isSigned && !head.isNotRun && !head.isOtherInstance;
}
