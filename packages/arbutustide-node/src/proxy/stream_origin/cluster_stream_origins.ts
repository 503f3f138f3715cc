import type {
  ClusterNode,
  FindStreamOriginRequest,
  FindStreamOriginResponseFields,
  PeerTransport,
  RecordStreamOriginsRequest,
} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {
  OriginEvidence,
  ProxyUpstreamDirectory,
  ResolvedOrigin,
  RoutedRequest,
  StreamOrigin,
  StreamOrigins,
  UpstreamDescription,
} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {UpstreamListSource} from './list_confirmer.js';
import type {OriginSearch} from './origin_peers.js';
import type {StreamOriginStorage} from './stream_origin_storage.js';

import {delay} from '@arbutustide/errors';
import {
  listVersions,
  OriginKnowledge,
  RecentVersions,
  resolveOrigin,
  StreamOriginRegistry,
} from '@arbutustide/routing';

import {chooseOriginKeepers, TOLD_KEEPERS} from './choose_origin_keepers.js';
import {ListConfirmer} from './list_confirmer.js';
import {isDecided, proofOf} from './origin_evidence.js';
import {OriginArchive} from './origin_archive.js';
import {OriginArchiver} from './origin_archiver.js';
import {OriginArchivers} from './origin_archivers.js';
import {NO_ANSWERS, OriginPeers} from './origin_peers.js';
import {OriginRecorder} from './origin_recorder.js';
import {TouchTracker} from './touch_tracker.js';
import {VersionHistory} from './version_history.js';
import {VersionHistoryWriter} from './version_history_writer.js';
import {PROVEN, VersionProver} from './version_prover.js';

/**
 * How long keepers are waited for while this node can prove that there was one
 * version only and asks just because it is new; also how long the object store
 * is waited for before they are asked. The archive is asked after this time too.
 * Callers give a stream up after some seconds without an event.
 */
const PRECAUTION_MILLISECONDS = 250;
/** Time that a peer has to confirm its list of upstreams for this node. */
const PEER_CONFIRMATION_MILLISECONDS = 500;
/**
 * How long the object store and the list of upstreams are waited for, together.
 * A caller without an answer for longer resumes its stream elsewhere.
 */
const STORE_MILLISECONDS = 1_000;
/** Shortest time that the archive has for its answer. */
const ARCHIVE_MILLISECONDS = 400;
/** Ids of callers' requests are shorter; longer ones are never recorded. */
const MAXIMUM_ID_LENGTH = 256;
const HASH_RANGE = 2 ** 32;

/** Dependencies of the origins of streams. */
export interface ClusterStreamOriginsOptions {
  /** URL at which peers reach this node. */
  readonly ownUrl: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly directory: ProxyUpstreamDirectory;
  /** Whether a list of upstreams was received since this process started. */
  readonly isListReceived: () => boolean;
  /** Whether the list of upstreams was confirmed a short time ago. */
  readonly isListCurrent: () => boolean;
  readonly listSource: UpstreamListSource;
  readonly store: ObjectStore;
  readonly storage: StreamOriginStorage;
  readonly transport: PeerTransport;
  /** Longest time that a stream may last, in milliseconds. */
  readonly streamLifetimeMilliseconds: () => number;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/**
 * Remembers where streams began, so that any node can resume them at the same
 * software version. Nodes tell each other of streams, and write them to the
 * object store, only while the upstreams of their service have, or had a short
 * time ago, several versions.
 */
export class ClusterStreamOrigins implements StreamOrigins {
  private readonly registry: StreamOriginRegistry;
  private readonly recentVersions: RecentVersions;
  private readonly archivers: OriginArchivers;
  private readonly archiver: OriginArchiver;
  private readonly archive: OriginArchive;
  private readonly recorder: OriginRecorder;
  private readonly history: VersionHistory;
  private readonly historyWriter: VersionHistoryWriter;
  private readonly touch: TouchTracker;
  private readonly listConfirmer: ListConfirmer;
  private readonly peers: OriginPeers;
  private readonly prover: VersionProver;
  private nextHistoryReadAtMilliseconds = -Infinity;

  constructor(private readonly options: ClusterStreamOriginsOptions) {
    const {streamLifetimeMilliseconds, ownUrl, listNodes} = options;
    const {store, storage, logger, random, directory} = options;
    this.touch = new TouchTracker(options.isListCurrent);
    this.peers = new OriginPeers(options);
    this.registry = new StreamOriginRegistry(streamLifetimeMilliseconds);
    this.recentVersions = new RecentVersions(streamLifetimeMilliseconds);
    this.archivers = new OriginArchivers(ownUrl, listNodes);
    // A node that was told to archive by peers which see other members.
    const otherRing = Math.floor(random() * HASH_RANGE);
    this.archiver = new OriginArchiver({
      ...options,
      chooseRing: () =>
        this.archivers.ownRank ?? otherRing % Math.max(1, this.archivers.count),
    });
    this.archive = new OriginArchive(store, storage, logger);
    this.recorder = new OriginRecorder({
      ...options,
      archivers: this.archivers,
      archiver: this.archiver,
    });
    this.history = new VersionHistory({
      ...options,
      onDiscovered: (service, versions) =>
        this.recordVersions(service, versions),
    });
    this.historyWriter = new VersionHistoryWriter({
      ...options,
      history: this.history,
    });
    const onEntry = ({service, softwareVersion}: UpstreamDescription) =>
      this.recordVersions(service, [softwareVersion]);
    // Upstreams may join and leave between two looks at the directory.
    directory.onEntry(onEntry);
    this.listConfirmer = new ListConfirmer({
      source: options.listSource,
      onEntry,
      logger,
    });
    this.prover = new VersionProver({
      ...options,
      touch: this.touch,
      recentVersions: this.recentVersions,
      history: this.history,
      listConfirmer: this.listConfirmer,
      observeVersions: () => this.observeVersions(),
    });
  }

  /**
   * Records the versions of the upstreams that are listed now, also in the
   * store. Called several times a second.
   */
  updateVersions(): void {
    this.observeVersions();
    if (!this.history.isRead) this.readHistory();
    else if (this.options.isListReceived())
      this.historyWriter.update(listVersions(this.options.directory.all()));
  }

  async resolve(request: RoutedRequest): Promise<ResolvedOrigin> {
    this.observeVersions();
    const {service, requestId, resumedRequestId} = request;
    const evidence = await this.findEvidence(service, resumedRequestId ?? '');
    const resolved = resolveOrigin(service, evidence);
    if (resolved.knowledge === OriginKnowledge.UNKNOWN) {
      this.options.logger.info(
        {
          requestId,
          resumedRequestId: resumedRequestId?.slice(0, MAXIMUM_ID_LENGTH),
          service,
          reason: resolved.reason,
          recentVersions: [...evidence.recentVersions],
        },
        'refused to resume a stream of unknown origin',
      );
    }
    return resolved;
  }

  recordBegun({requestId, service}: RoutedRequest, origin: StreamOrigin): void {
    this.observeVersions();
    const record = {requestId, origin};
    this.registry.add(record, true);
    if (this.recentVersions.versionsOf(service).size > 1)
      this.recorder.record(record);
  }

  recordComplete({requestId, resumedRequestId}: RoutedRequest): void {
    this.registry.remove(resumedRequestId ?? requestId);
  }

  /** Keeps, and archives if this node is to, what a peer tells of its streams. */
  handleRecords({groups}: RecordStreamOriginsRequest): void {
    for (const {service, softwareVersion, requestIds} of groups) {
      const origin = {service, softwareVersion};
      for (const requestId of requestIds) {
        const record = {requestId, origin};
        if (this.isToArchive(requestId)) this.archiver.add(record);
        this.registry.add(record, false);
      }
    }
  }

  /** Answers a peer that asks for the origin of a stream. */
  async handleFind({
    requestId,
    service,
    needsConfirmation,
  }: FindStreamOriginRequest): Promise<FindStreamOriginResponseFields> {
    this.observeVersions();
    const isConfirmed =
      needsConfirmation &&
      (await this.listConfirmer.confirm(
        performance.now(),
        PEER_CONFIRMATION_MILLISECONDS,
      ));
    const origin = this.registry.find(requestId);
    return {
      isKnown: origin !== undefined,
      ...origin,
      recentVersions: [...this.recentVersions.versionsOf(service)],
      isConfirmed: isConfirmed && !this.prover.isNew,
    };
  }

  /**
   * Records the versions that are listed now. When a service gets a second one,
   * the streams that go on are told to their keepers.
   */
  private observeVersions(): void {
    this.touch.observe();
    const mixed = this.recentVersions.update(this.options.directory.all());
    for (const service of mixed) this.tellOwnStreams(service);
  }

  private recordVersions(service: string, versions: readonly string[]): void {
    if (this.recentVersions.record(service, versions))
      this.tellOwnStreams(service);
  }

  private tellOwnStreams(service: string): void {
    for (const record of this.registry.ownRecords(service))
      this.recorder.record(record);
  }

  /** Reads the history once, again only if that failed. */
  private readHistory(): void {
    const now = performance.now();
    if (now < this.nextHistoryReadAtMilliseconds) return;
    this.nextHistoryReadAtMilliseconds = now + STORE_MILLISECONDS;
    void this.history.read();
  }

  /**
   * Whether a peer that has told this node of a stream takes it for an archiver.
   * If it is none itself, the peer may know other members, or the archiver may
   * not have answered: then this node is told of a stream that it is no keeper
   * of, or for the second time.
   */
  private isToArchive(requestId: string): boolean {
    const {archivers} = this;
    if (archivers.ownRank !== undefined) return true;
    if (archivers.isSettled && !archivers.isSpare) return false;
    if (this.registry.find(requestId)) return true;
    const {listNodes, ownUrl} = this.options;
    return chooseOriginKeepers(listNodes(), requestId, TOLD_KEEPERS).every(
      ({peerUrl}) => peerUrl !== ownUrl,
    );
  }

  /** What memory, peers and the store know. */
  private async findEvidence(
    service: string,
    givenId: string,
  ): Promise<OriginEvidence> {
    const beganAt = performance.now();
    const endAt = beganAt + STORE_MILLISECONDS;
    const requestId = givenId.length <= MAXIMUM_ID_LENGTH ? givenId : '';
    const origin = this.registry.find(requestId);
    if (origin) return proofOf(origin, this.recentVersions.versionsOf(service));
    const isListConfirmed = await this.prover.confirmList(
      service,
      beganAt,
      PRECAUTION_MILLISECONDS,
    );
    const ownVersions = this.recentVersions.versionsOf(service);
    if (isListConfirmed && ownVersions.size <= 1 && !this.prover.isNew)
      return {origin, recentVersions: ownVersions, isComplete: true};
    const remembered = this.findRemembered({
      service,
      requestId,
      isListConfirmed,
      beganAtMilliseconds: beganAt,
      endAtMilliseconds: endAt,
    });
    if (requestId === '') return remembered;
    if (!this.prover.isNew || ownVersions.size <= 1) {
      const early = await Promise.race([
        remembered,
        delay(PRECAUTION_MILLISECONDS),
      ]);
      if (typeof early === 'object' && isDecided(early)) return early;
    }
    const remaining = endAt - performance.now();
    const archived = this.archive
      .find(requestId, Math.max(ARCHIVE_MILLISECONDS, remaining))
      .then(answer => answer.origin && proofOf(answer.origin, ownVersions));
    // A keeper that is gone delays neither what the archive knows nor its answer.
    return Promise.race([
      archived.then(evidence => evidence ?? remembered),
      remembered.then(async evidence =>
        isDecided(evidence) ? evidence : ((await archived) ?? evidence),
      ),
    ]);
  }

  /** What peers, the list of upstreams and the history prove. */
  private async findRemembered(search: OriginSearch): Promise<OriginEvidence> {
    const {service} = search;
    const proof = this.prover.prove(search);
    const answers = this.peers.ask(search);
    const told = await Promise.race([
      answers,
      proof.then(async ({isProven}) => {
        const {size} = this.recentVersions.versionsOf(service);
        if (!isProven || size > 1) return answers;
        await delay(PRECAUTION_MILLISECONDS);
        return NO_ANSWERS;
      }),
    ]);
    const {origin, isConfirmed, haveKeepersAnswered} = told;
    const isDecisive = origin !== undefined || isConfirmed;
    const {isProven, isHistoryConfirmed} = isDecisive ? PROVEN : await proof;
    return {
      origin,
      recentVersions: new Set([
        ...this.recentVersions.versionsOf(service),
        ...told.recentVersions,
      ]),
      // While the store answers none of the nodes that were asked, an old list
      // is compared with those of all keepers.
      isComplete: isProven || (isHistoryConfirmed && haveKeepersAnswered),
    };
  }
}
