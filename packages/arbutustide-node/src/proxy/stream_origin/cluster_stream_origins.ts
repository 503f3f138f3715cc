import type {
  ClusterNode,
  FindStreamOriginRequest,
  FindStreamOriginResponse,
  FindStreamOriginResponseFields,
  PeerTransport,
  RecordStreamOriginsRequest,
} from '@arbutustide/membership';
import type {
  OriginEvidence,
  ProxyUpstreamDirectory,
  ResolvedOrigin,
  RoutedRequest,
  StreamOrigin,
  StreamOrigins,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import {delay} from '@arbutustide/errors';
import {FindStreamOriginRequestSchema} from '@arbutustide/membership';
import {
  RecentVersions,
  resolveOrigin,
  StreamOriginRegistry,
} from '@arbutustide/routing';
import {create} from '@bufbuild/protobuf';

import {ASKED_KEEPERS, chooseOriginKeepers} from './choose_origin_keepers.js';
import {OriginRecorder} from './origin_recorder.js';

/**
 * How long keepers are waited for while this node knows of one version only and
 * asks just because it is new. Callers give a stream up after some seconds
 * without an event.
 */
const PRECAUTION_MILLISECONDS = 250;

/** Dependencies of the origins of streams. */
export interface ClusterStreamOriginsOptions {
  /** URL at which peers reach this node. */
  readonly ownUrl: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly directory: ProxyUpstreamDirectory;
  readonly transport: PeerTransport;
  /** Longest time that a stream may last, in milliseconds. */
  readonly streamLifetimeMilliseconds: () => number;
  readonly logger: NodeLogger;
}

/**
 * Remembers where streams began, so that any node can resume them at the same
 * software version. Nodes tell each other of streams only while the upstreams of
 * their service have, or had a short time ago, several versions.
 */
export class ClusterStreamOrigins implements StreamOrigins {
  private readonly registry: StreamOriginRegistry;
  private readonly recentVersions: RecentVersions;
  private readonly recorder: OriginRecorder;
  private readonly createdAtMilliseconds = performance.now();

  constructor(private readonly options: ClusterStreamOriginsOptions) {
    const {streamLifetimeMilliseconds, ownUrl, listNodes, transport, logger} =
      options;
    this.registry = new StreamOriginRegistry(streamLifetimeMilliseconds);
    this.recentVersions = new RecentVersions(streamLifetimeMilliseconds);
    this.recorder = new OriginRecorder(ownUrl, listNodes, transport, logger);
  }

  /**
   * Records the versions of the upstreams that are listed now. When a service
   * gets a second one, the streams that go on are told to their keepers.
   */
  updateVersions(): void {
    const mixed = this.recentVersions.update(this.options.directory.all());
    for (const service of mixed) {
      for (const record of this.registry.ownRecords(service))
        this.recorder.record(record);
    }
  }

  async resolve({
    service,
    resumedRequestId = '',
  }: RoutedRequest): Promise<ResolvedOrigin> {
    this.updateVersions();
    const recentVersions = this.recentVersions.versionsOf(service);
    const origin = this.registry.find(resumedRequestId);
    const isOriginNeeded = recentVersions.size > 1 || this.isNew;
    const evidence =
      origin || !isOriginNeeded
        ? {origin, recentVersions}
        : await this.askKeepers(service, resumedRequestId, recentVersions);
    return resolveOrigin(service, evidence);
  }

  recordBegun({requestId, service}: RoutedRequest, origin: StreamOrigin): void {
    this.updateVersions();
    const record = {requestId, origin};
    this.registry.add(record, true);
    if (this.recentVersions.versionsOf(service).size > 1)
      this.recorder.record(record);
  }

  recordComplete({requestId, resumedRequestId}: RoutedRequest): void {
    this.registry.remove(resumedRequestId ?? requestId);
  }

  /** Keeps what a peer tells of its streams. */
  handleRecords({groups}: RecordStreamOriginsRequest): void {
    for (const {service, softwareVersion, requestIds} of groups) {
      const origin = {service, softwareVersion};
      for (const requestId of requestIds)
        this.registry.add({requestId, origin}, false);
    }
  }

  /** Answers a peer that asks for the origin of a stream. */
  handleFind({
    requestId,
    service,
  }: FindStreamOriginRequest): FindStreamOriginResponseFields {
    this.updateVersions();
    const origin = this.registry.find(requestId);
    return {
      isKnown: origin !== undefined,
      ...origin,
      recentVersions: [...this.recentVersions.versionsOf(service)],
    };
  }

  /** Whether streams may go on that began before this process did. */
  private get isNew(): boolean {
    const age = performance.now() - this.createdAtMilliseconds;
    return age < this.options.streamLifetimeMilliseconds();
  }

  /** Asks the keepers at the same time; the first that knows it decides. */
  private async askKeepers(
    service: string,
    requestId: string,
    ownVersions: ReadonlySet<string>,
  ): Promise<OriginEvidence> {
    const {listNodes, ownUrl} = this.options;
    const recentVersions = new Set(ownVersions);
    const keepers = chooseOriginKeepers(
      listNodes(),
      requestId,
      ASKED_KEEPERS,
    ).filter(({peerUrl}) => peerUrl !== ownUrl);
    const request = create(FindStreamOriginRequestSchema, {requestId, service});
    const findAt = async ({peerUrl}: ClusterNode): Promise<StreamOrigin> => {
      const response = await this.ask(peerUrl, request);
      for (const version of response?.recentVersions ?? [])
        recentVersions.add(version);
      if (!response?.isKnown) throw new Error('the origin is not known');
      return {
        service: response.service,
        softwareVersion: response.softwareVersion,
      };
    };
    const answer = Promise.any(keepers.map(findAt)).catch(() => undefined);
    const isMixed = ownVersions.size > 1;
    const origin = isMixed
      ? await answer
      : await Promise.race([
          answer,
          delay(PRECAUTION_MILLISECONDS).then(() => undefined),
        ]);
    return {origin, recentVersions};
  }

  private async ask(
    peerUrl: string,
    request: FindStreamOriginRequest,
  ): Promise<FindStreamOriginResponse | undefined> {
    const response = await this.options.transport.findStreamOrigin(
      peerUrl,
      request,
    );
    if (response.ok) return response.val;
    this.options.logger.info(
      {peerUrl, requestId: request.requestId, reason: response.val.message},
      'a peer did not say where a stream began',
    );
    return undefined;
  }
}
