import type {UpstreamProcess} from '../departed_upstreams.js';
import type {RoutedRequest} from '../routed_request.js';
import type {CrashCause} from './attribute_crashes.js';
import type {Quarantine} from './quarantine_list.js';
import type {RecordedCrash, UpstreamCrash} from './upstream_crash.js';

import {sharedSegmentIds} from '../routed_request.js';
import {findCrashCause, isInCrash} from './attribute_crashes.js';
import {CrashRecorder} from './crash_recorder.js';
import {ObservedAttempt} from './observed_attempt.js';
import {QuarantineList} from './quarantine_list.js';
import {SegmentHistory} from './segment_history.js';
import {mergeCrashes, processKey} from './upstream_crash.js';

/** How long a crash counts. */
const CRASH_RETENTION_MILLISECONDS = 30_000;
/** A peer's quarantine is not adopted this long after a survival here. */
const EXONERATION_MILLISECONDS = 30_000;

/** What is known of a process of an upstream. */
export enum ProcessState {
  RUNNING = 'running',
  /** It has said that it leaves, so its end is no crash. */
  LEAVING = 'leaving',
  /** It is no longer listed, or another process has its place. */
  ENDED = 'ended',
}

/** Connection of a detector to its node. */
export interface PoisonSegmentDetectorOptions {
  /** Identity of this node's process. */
  readonly identity: string;
  /** State of a process, by the platform's list and its own word. */
  readonly processState: (process: UpstreamProcess) => ProcessState;
  /** Called for each crash that this node has seen. */
  readonly onCrash: (crash: UpstreamCrash) => void;
  /** Called when a quarantine begins; `cause` is absent if a peer decided. */
  readonly onQuarantine: (
    segment: string,
    cause: CrashCause | undefined,
  ) => void;
  /** Called when a quarantined segment proved harmless. */
  readonly onExonerated: (segment: string) => void;
}

/** Requests with one segment that survived at one node. */
export interface SegmentSurvivals {
  readonly segment: string;
  /** Increases with each survival. */
  readonly count: number;
}

/** The survivals that one peer publishes. */
export interface PeerSurvivals {
  /** Identity of the peer's process. */
  readonly peer: string;
  readonly survivals: readonly SegmentSurvivals[];
}

/** What the peers publish. */
export interface PeerCrashEvidence {
  readonly survivals: Iterable<PeerSurvivals>;
  readonly crashes: Iterable<UpstreamCrash>;
  readonly quarantines: Iterable<Quarantine>;
}

/**
 * Detects poison segments: parts of a prompt that crash each upstream that
 * begins to answer a request with them, whatever else the request holds. Nodes
 * add up the crashes that each saw; each decides by itself which segment they
 * have in common, and adopts the decisions of its peers.
 */
export class PoisonSegmentDetector {
  private readonly history = new SegmentHistory();
  private readonly quarantines = new QuarantineList();
  private readonly recorder = new CrashRecorder(
    crash => this.recordOwnCrash(crash),
    segments => this.recordSurvival(segments),
  );
  /** What this node itself has lost, by process. */
  private readonly ownCrashes = new Map<string, RecordedCrash>();
  /** What peers have published of each process, by process. */
  private peerCrashes = new Map<string, RecordedCrash>();
  /** Survival counts of peers, by peer and segment. */
  private peerSurvivalCounts = new Map<string, number>();
  private suspectedSegment: string | undefined;
  private decisionCount = 0;

  constructor(private readonly options: PoisonSegmentDetectorOptions) {}

  /** Whether the request has a segment that must not run again. */
  isQuarantined({modelRequest}: RoutedRequest): boolean {
    if (!modelRequest) return false;
    return sharedSegmentIds(modelRequest).some(id => this.quarantines.has(id));
  }

  /**
   * Whether the request has a segment that probably crashes upstreams. Another
   * attempt after a broken one would probably crash one more.
   */
  isSuspected({modelRequest}: RoutedRequest): boolean {
    if (!modelRequest || this.suspectedSegment === undefined) return false;
    return sharedSegmentIds(modelRequest).includes(this.suspectedSegment);
  }

  /** Follows an attempt; undefined if the request shares nothing. */
  observe(
    {modelRequest}: RoutedRequest,
    process: UpstreamProcess,
  ): ObservedAttempt | undefined {
    const segments = modelRequest ? sharedSegmentIds(modelRequest) : [];
    if (segments.length === 0) return undefined;
    return new ObservedAttempt(process, segments, {
      recordSurvival: survivors => this.recordSurvival(survivors),
      recordLoss: loss => this.recorder.recordLoss(loss),
    });
  }

  /** Records that a process accepts no connections any more. */
  recordUnreachable(process: UpstreamProcess): void {
    if (this.options.processState(process) !== ProcessState.LEAVING)
      this.recorder.recordEnd(process);
  }

  /** Applies what peers publish now, and what the platform's list shows. */
  update({crashes, survivals, quarantines}: PeerCrashEvidence): void {
    this.recorder.prune();
    for (const process of [...this.recorder.unconfirmedProcesses()]) {
      if (this.options.processState(process) === ProcessState.ENDED)
        this.recorder.recordEnd(process);
    }
    this.replacePeerCrashes(crashes);
    this.replacePeerSurvivals(survivals);
    for (const quarantine of quarantines) this.adopt(quarantine);
    this.attributeCrashes();
  }

  /** Crashes that this node has seen, to be published to peers. */
  recentCrashes(): Iterable<UpstreamCrash> {
    this.dropExpired();
    return this.ownCrashes.values();
  }

  /**
   * Survivals of the segments that were lost in more than one crash, to be
   * published to peers: a sound one may have survived here only.
   */
  *suspectSurvivals(): Generator<SegmentSurvivals> {
    const lostIn = new Map<string, number>();
    for (const {begun, unbegun} of this.unexplainedCrashes()) {
      const segments = new Set([...begun.segments, ...unbegun.segments]);
      for (const segment of segments)
        lostIn.set(segment, (lostIn.get(segment) ?? 0) + 1);
    }
    for (const [segment, crashes] of lostIn) {
      const count = this.history.survivalCount(segment);
      if (crashes > 1 && count > 0) yield {segment, count};
    }
  }

  /** Decisions on segments, to be published to peers. */
  quarantineDecisions(): Iterable<Quarantine> {
    return this.quarantines.decisions();
  }

  private recordOwnCrash(crash: UpstreamCrash): void {
    const key = processKey(crash.process);
    const known = this.ownCrashes.get(key);
    const recorded = known
      ? mergeCrashes(known, crash)
      : {...crash, recordedAtMilliseconds: performance.now()};
    this.ownCrashes.set(key, recorded);
    this.attributeCrashes();
    this.options.onCrash(recorded);
  }

  private recordSurvival(segments: readonly string[]): void {
    this.history.recordSurvival(segments);
    for (const segment of segments) {
      if (this.quarantines.lift(segment)) this.options.onExonerated(segment);
    }
  }

  /** Keeps the time at which each crash first became known. */
  private replacePeerCrashes(crashes: Iterable<UpstreamCrash>): void {
    const now = performance.now();
    const next = new Map<string, RecordedCrash>();
    for (const crash of crashes) {
      const key = processKey(crash.process);
      const other = next.get(key);
      const recordedAtMilliseconds =
        this.peerCrashes.get(key)?.recordedAtMilliseconds ?? now;
      next.set(
        key,
        other ? mergeCrashes(other, crash) : {...crash, recordedAtMilliseconds},
      );
      // This node may have lost requests in it too.
      if (!this.peerCrashes.has(key)) this.recorder.recordEnd(crash.process);
    }
    this.peerCrashes = next;
  }

  private replacePeerSurvivals(survivals: Iterable<PeerSurvivals>): void {
    const next = new Map<string, number>();
    for (const {peer, survivals: ofPeer} of survivals) {
      for (const {segment, count} of ofPeer) {
        const key = `${peer} ${segment}`;
        const known = this.peerSurvivalCounts.get(key) ?? 0;
        if (count > known) this.history.recordPeerSurvival(segment);
        next.set(key, count);
      }
    }
    this.peerSurvivalCounts = next;
  }

  private adopt({segment, decisionId, isLifted}: Quarantine): void {
    if (isLifted) {
      if (this.quarantines.lift(segment, decisionId))
        this.options.onExonerated(segment);
      return;
    }
    const survivedAt = this.history.lastSurvivalAtMilliseconds(segment);
    if (performance.now() - survivedAt < EXONERATION_MILLISECONDS) return;
    if (this.quarantines.add(segment, decisionId))
      this.options.onQuarantine(segment, undefined);
  }

  /** Blames one segment after another until none explains what is left. */
  private attributeCrashes(): void {
    this.dropExpired();
    for (;;) {
      const cause = findCrashCause(this.unexplainedCrashes(), this.history);
      this.suspectedSegment = cause?.segment;
      if (!cause?.isCertain) return;
      this.decisionCount += 1;
      const decisionId = `${this.options.identity}#${this.decisionCount}`;
      this.quarantines.add(cause.segment, decisionId);
      this.options.onQuarantine(cause.segment, cause);
    }
  }

  /** Crashes of all nodes in which no quarantined segment was lost, by time. */
  private unexplainedCrashes(): RecordedCrash[] {
    const merged = new Map(this.ownCrashes);
    for (const [key, crash] of this.peerCrashes) {
      const own = merged.get(key);
      merged.set(key, own ? mergeCrashes(own, crash) : crash);
    }
    const quarantined = [...this.quarantines.decisions()]
      .filter(({isLifted}) => !isLifted)
      .map(({segment}) => segment);
    return [...merged.values()]
      .filter(crash => !quarantined.some(id => isInCrash(id, crash)))
      .sort(
        (left, right) =>
          left.recordedAtMilliseconds - right.recordedAtMilliseconds,
      );
  }

  private dropExpired(): void {
    const oldest = performance.now() - CRASH_RETENTION_MILLISECONDS;
    for (const [key, {recordedAtMilliseconds}] of this.ownCrashes) {
      if (recordedAtMilliseconds < oldest) this.ownCrashes.delete(key);
    }
  }
}
