import type {
  PeerTransport,
  RelayRequestResponse,
} from '@arbutustide/membership';
import type {
  AnswerPeriod,
  RelayedHead,
  RelayedProgress,
  RelayFailure,
  RelayPeer,
  RequestRelay,
  RoutedRequest,
  RoutedRequestProgress,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {Result} from 'ts-results';

import type {RelayCandidate} from './choose_relay_peer.js';

import type {Cancellation} from '@arbutustide/errors';
import {ExecutionStatus} from '@arbutustide/errors';
import {PeerError} from '@arbutustide/membership';
import {AttemptError, AttemptFailure, SendCheck} from '@arbutustide/upstream';
import {Err, Ok} from 'ts-results';

import {chooseRelayPeer} from './choose_relay_peer.js';
import {decodeRefusal, encodeRelayRequest} from './relay_messages.js';

/** Peers that one request may be sent to, one after the other. */
const MAXIMUM_PEERS = 3;
/** Time for which a peer without a path is not asked again. */
const NO_PATH_RETENTION_MILLISECONDS = 1_000;

/** Connection of a relay to its node. */
export interface ClusterRequestRelayOptions {
  /** Identity of this node's process. */
  readonly identity: string;
  /** Ready peers that may have a path to an upstream for the request. */
  readonly listCandidates: (
    progress: RoutedRequestProgress,
  ) => readonly RelayCandidate[];
  readonly transport: PeerTransport;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
  readonly answerPeriod: AnswerPeriod;
}

/** Passes requests on through peers that have a path to upstreams. */
export class ClusterRequestRelay implements RequestRelay {
  private readonly inFlightByPeer = new Map<string, number>();
  /** When peers are asked again, by peer and service (monotonic clock). */
  private readonly noPathUntil = new Map<string, number>();

  constructor(private readonly options: ClusterRequestRelayOptions) {}

  choosePeer(progress: RoutedRequestProgress): RelayPeer | undefined {
    const {triedPeers, isRelayed, request} = progress;
    if (isRelayed || triedPeers.size >= MAXIMUM_PEERS) return undefined;
    const now = performance.now();
    const candidates = this.options
      .listCandidates(progress)
      .filter(({identity}) => {
        const key = noPathKey(identity, request.service);
        const until = this.noPathUntil.get(key) ?? -Infinity;
        return !triedPeers.has(identity) && until <= now;
      })
      .map(candidate => ({
        ...candidate,
        load:
          candidate.load + (this.inFlightByPeer.get(candidate.identity) ?? 0),
      }));
    return chooseRelayPeer(candidates, this.options.random);
  }

  recordNoPath({identity}: RelayPeer, service: string): void {
    const now = performance.now();
    for (const [key, until] of this.noPathUntil)
      if (until <= now) this.noPathUntil.delete(key);
    this.noPathUntil.set(
      noPathKey(identity, service),
      now + NO_PATH_RETENTION_MILLISECONDS,
    );
  }

  async sendRequest(
    peer: RelayPeer,
    request: RoutedRequest,
    progress: RelayedProgress,
    cancellation: Cancellation,
  ): Promise<Result<RelayedHead, RelayFailure>> {
    const {identity, transport, answerPeriod} = this.options;
    // Before the check, so that later requests of this turn choose by it.
    const endCount = this.countInFlight(peer);
    const unsent = await new SendCheck({
      ...request,
      isCancelled: () => cancellation.isCancelled,
    }).confirm();
    if (unsent) {
      endCount();
      return Err({error: unsent, refusal: undefined});
    }
    const call = new RelayCall(
      transport.relayRequest.bind(
        transport,
        peer.peerUrl,
        encodeRelayRequest(identity, request, progress, answerPeriod),
      ),
      cancellation,
      endCount,
    );
    const head = await call.open();
    if (head.err && !head.val.refusal && !cancellation.isCancelled) {
      this.options.logger.info(
        {peer: peer.name, reason: head.val.error.message},
        'a peer did not pass a request on',
      );
    }
    return head;
  }

  /** Counts a request as in flight; returns a function that ends that. */
  private countInFlight({identity}: RelayPeer): () => void {
    const {inFlightByPeer} = this;
    inFlightByPeer.set(identity, (inFlightByPeer.get(identity) ?? 0) + 1);
    return () => {
      const count = (inFlightByPeer.get(identity) ?? 1) - 1;
      if (count > 0) inFlightByPeer.set(identity, count);
      else inFlightByPeer.delete(identity);
    };
  }
}

/** One request that a peer passes on. */
class RelayCall {
  private readonly abortController = new AbortController();
  private readonly removeCancelListener: () => void;
  private readonly parts: AsyncIterator<RelayRequestResponse>;
  private isEnded = false;

  /** @param onEnd called once the answer is complete or given up. */
  constructor(
    send: (signal: AbortSignal) => AsyncIterable<RelayRequestResponse>,
    private readonly cancellation: Cancellation,
    private readonly onEnd: () => void,
  ) {
    const {signal} = this.abortController;
    this.parts = send(signal)[Symbol.asyncIterator]();
    this.removeCancelListener = cancellation.onCancel(reason =>
      this.abortController.abort(reason),
    );
  }

  /** Waits for the head of the answer. */
  async open(): Promise<Result<RelayedHead, RelayFailure>> {
    try {
      const {value, done} = await this.parts.next();
      const part = done ? undefined : value.part;
      if (part?.case === 'head') {
        const {origin, ...head} = part.value;
        return Ok({
          ...head,
          origin: origin ?? {service: '', softwareVersion: ''},
          isNotRun: false,
          isOtherInstance: false,
          isSigned: true,
          isSelfDelimiting: true,
          isLeaving: false,
          backOffMilliseconds: undefined,
          requestsPerSecond: undefined,
          survivedRejectionsPerSecond: undefined,
          load: undefined,
          body: this.readBody(),
        });
      }
      this.end();
      if (part?.case !== 'refusal') throw createEndedError();
      const refusal = decodeRefusal(part.value);
      const hasRun = refusal.ran !== ExecutionStatus.NOT_EXECUTED;
      const failure = hasRun
        ? AttemptFailure.CONNECTION_LOST
        : AttemptFailure.NOT_CONNECTED;
      return Err({error: new AttemptError(failure, refusal.message), refusal});
    } catch (error) {
      this.end();
      return Err({error: this.toAttemptError(error), refusal: undefined});
    }
  }

  private async *readBody(): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        const {value, done} = await this.parts.next();
        const part = done ? undefined : value.part;
        if (part?.case === 'chunk') yield part.value;
        else if (part?.case === 'isWhole' && part.value) return;
        else throw createEndedError();
      }
    } catch (error) {
      throw this.toAttemptError(error);
    } finally {
      this.end();
    }
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.removeCancelListener();
    this.abortController.abort();
    this.onEnd();
  }

  private toAttemptError(error: unknown): AttemptError {
    if (error instanceof AttemptError) return error;
    const message = error instanceof Error ? error.message : String(error);
    const isRefused = error instanceof PeerError && error.isRefused;
    const failure = this.cancellation.isCancelled
      ? AttemptFailure.CANCELLED
      : isRefused
        ? AttemptFailure.NOT_CONNECTED
        : AttemptFailure.CONNECTION_LOST;
    return new AttemptError(failure, message);
  }
}

function createEndedError(): AttemptError {
  return new AttemptError(
    AttemptFailure.CONNECTION_LOST,
    'the answer that a peer passes on has broken off',
  );
}

function noPathKey(identity: string, service: string): string {
  return `${identity} ${service}`;
}
