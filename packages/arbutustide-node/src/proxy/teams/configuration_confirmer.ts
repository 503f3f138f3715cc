import type {
  ClusterNode,
  ConfirmConfigurationResponseFields,
  PeerTransport,
} from '@arbutustide/membership';
import type {ObjectStore} from '@arbutustide/object-store';
import type {ServingConfiguration} from '@arbutustide/routing';
import type {ConfigurationFreshness} from '@arbutustide/teams';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ConfigurationWatcher} from '../configuration_watcher.js';

import {delay, readClocks} from '@arbutustide/errors';
import {ConfirmConfigurationRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {parseSnapshot} from '../peer_snapshot.js';

/** Interval at which the age of the newest confirmation is checked. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/** Times below are shares of the maximum age of a confirmation. */
const ASK_AGE_SHARE = 0.25;
/** At this age more peers are asked, and the store beside the watch. */
const URGENT_AGE_SHARE = 0.6;
const INTERVAL_SHARE = 0.25;
const URGENT_INTERVAL_SHARE = 0.125;
/**
 * Least time between two rounds, however many requests are refused. A round
 * within a failure domain takes a few milliseconds.
 */
const MINIMUM_INTERVAL_MILLISECONDS = 100;
/**
 * Share of the nodes that a node must reach to stay ready while it refuses
 * requests with keys. On the smaller side of a partition it is not ready.
 */
const MINIMUM_SHARE_TO_STAY_READY = 0.5;
/** Peers asked in an urgent round; any of them may be cut off or frozen. */
const URGENT_PEERS = 3;

/** What a confirmer asks, and what it keeps up to date. */
export interface ConfigurationConfirmerOptions {
  readonly freshness: ConfigurationFreshness;
  readonly watcher: ConfigurationWatcher;
  /** Called directly, as a peer's answer does not show the store's state. */
  readonly store: ObjectStore;
  readonly transport: PeerTransport;
  /** Other nodes that answer, in any order. */
  readonly listPeers: () => readonly ClusterNode[];
  /** The peers among them that watch the store most closely, best first. */
  readonly listSources: () => readonly ClusterNode[];
  /** Highest version of the configuration that a node publishes. */
  readonly publishedVersion: () => number;
  /** Share of the nodes known a short time ago that this node reaches. */
  readonly reachableShare: () => number;
  /** Called with the age of the newest confirmation, infinite without one. */
  readonly recordAge: (milliseconds: number) => void;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/**
 * Keeps the confirmation of the configuration young while it decides about keys:
 * by what the store tells this node, by the answers of peers and, if these do
 * not suffice, by reading from the store beside the watch.
 */
export class ConfigurationConfirmer {
  private askedAtMilliseconds = -Infinity;
  private storeAskedAtMilliseconds = -Infinity;
  /** Highest version that a peer has named in a call. */
  private namedVersion = -Infinity;
  private isFetching = false;
  private wasConfirmed = true;

  constructor(private readonly options: ConfigurationConfirmerOptions) {
    const {watcher, freshness} = options;
    watcher.onConfirmation((version, sentAt) => {
      // A store that was restored from a copy holds an older version.
      if (version >= this.highestKnownVersion) freshness.confirm(sentAt);
      this.updateState();
    });
    freshness.onRefusal(() => this.check());
  }

  /** Whether keys may be judged only by a confirmed configuration. */
  get isNeeded(): boolean {
    return (
      this.options.freshness.isRequired &&
      this.configuration?.teams !== undefined
    );
  }

  /** Whether requests with keys are refused now. */
  get isRefusing(): boolean {
    return this.isNeeded && !this.options.freshness.isConfirmed;
  }

  /**
   * Whether callers are better served by another node. If most nodes are
   * reachable, none of them reads the store, and the refusals of this one at
   * least tell callers when to retry.
   */
  get isCutOff(): boolean {
    if (!this.isRefusing) return false;
    return this.options.reachableShare() < MINIMUM_SHARE_TO_STAY_READY;
  }

  /** Checks the age until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (await delay(CHECK_INTERVAL_MILLISECONDS, signal)) this.check();
  }

  /** Answers a peer: the version in force and how old its confirmation is. */
  answer(version: number): ConfirmConfigurationResponseFields {
    this.noteVersion(version);
    const {ageMilliseconds} = this.options.freshness;
    const {configuration} = this;
    const isKnown =
      configuration !== undefined &&
      Number.isFinite(ageMilliseconds) &&
      configuration.version >= this.highestKnownVersion;
    if (!isKnown) return {isKnown: false};
    return {version: configuration.version, ageMilliseconds, isKnown};
  }

  /** Asks for a confirmation if the newest one has become too old. */
  check(): void {
    if (!this.isNeeded) return;
    this.updateState();
    const {ageMilliseconds, maximumAgeMilliseconds} = this.options.freshness;
    this.options.recordAge(ageMilliseconds);
    if (ageMilliseconds < maximumAgeMilliseconds * ASK_AGE_SHARE) return;
    const isLost = ageMilliseconds === Infinity;
    const isUrgent =
      ageMilliseconds > maximumAgeMilliseconds * URGENT_AGE_SHARE;
    const share = isUrgent ? URGENT_INTERVAL_SHARE : INTERVAL_SHARE;
    const interval = isLost
      ? MINIMUM_INTERVAL_MILLISECONDS
      : maximumAgeMilliseconds * share;
    const now = performance.now();
    if (now < this.askedAtMilliseconds + interval) return;
    this.askedAtMilliseconds = now;
    for (const peer of this.choosePeers(isUrgent))
      void this.askPeer(peer, isUrgent);
    if (isUrgent) this.askStore(isLost);
  }

  private get configuration(): ServingConfiguration | undefined {
    return this.options.watcher.routes?.configuration;
  }

  private get highestKnownVersion(): number {
    return Math.max(
      this.configuration?.version ?? -Infinity,
      this.namedVersion,
      this.options.publishedVersion(),
    );
  }

  private noteVersion(version: number): void {
    this.namedVersion = Math.max(this.namedVersion, version);
  }

  /** Logs when keyed requests begin to be refused, and when they end to be. */
  private updateState(): void {
    const {freshness, logger} = this.options;
    const isConfirmed = !this.isRefusing;
    if (isConfirmed === this.wasConfirmed) return;
    this.wasConfirmed = isConfirmed;
    const {ageMilliseconds} = freshness;
    const version = this.configuration?.version;
    if (isConfirmed) {
      logger.info(
        {version, ageMilliseconds},
        'the configuration is confirmed; requests with keys are served again',
      );
      return;
    }
    logger.warn(
      {
        version,
        highestKnownVersion: this.highestKnownVersion,
        // JSON has no infinity, the age without a confirmation.
        ageMilliseconds: Number.isFinite(ageMilliseconds)
          ? ageMilliseconds
          : undefined,
      },
      'the configuration is not confirmed; refusing requests with keys',
    );
  }

  /** A node that watches the store closely, and others if it is urgent. */
  private choosePeers(isUrgent: boolean): Set<ClusterNode> {
    const {listPeers, listSources, random} = this.options;
    const chosen = new Set<ClusterNode>(listSources().slice(0, 1));
    const others = [...listPeers()];
    const count = isUrgent ? URGENT_PEERS + chosen.size : 1;
    while (chosen.size < count && others.length > 0) {
      const [peer] = others.splice(Math.floor(random() * others.length), 1);
      chosen.add(peer);
    }
    return chosen;
  }

  private async askPeer(peer: ClusterNode, isUrgent: boolean): Promise<void> {
    const {transport, freshness, logger} = this.options;
    const sentAt = readClocks();
    const answer = await transport.confirmConfiguration(
      peer.peerUrl,
      create(ConfirmConfigurationRequestSchema, {
        version: this.configuration?.version ?? 0,
      }),
    );
    if (!answer.ok) {
      logger.debug(
        {peer: peer.name, reason: answer.val.message},
        'a peer did not confirm the configuration',
      );
      return;
    }
    const {version, ageMilliseconds, isKnown} = answer.val;
    if (!isKnown) return;
    this.noteVersion(version);
    if (isUrgent && version > (this.configuration?.version ?? -Infinity))
      await this.fetchNewer(peer);
    const isInForce =
      version === this.configuration?.version &&
      version >= this.highestKnownVersion;
    if (isInForce) freshness.confirm(sentAt, ageMilliseconds);
    this.updateState();
  }

  /** Takes a newer configuration over that this node has not received. */
  private async fetchNewer({peerUrl, name}: ClusterNode): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const {transport, watcher, logger} = this.options;
    const response = await transport.fetchHead(peerUrl);
    this.isFetching = false;
    const snapshot = response.ok ? parseSnapshot(response.val) : undefined;
    if (snapshot?.configuration) {
      watcher.applyObject(snapshot.configuration, peerUrl);
      return;
    }
    logger.info(
      {
        peer: name,
        reason: response.ok ? 'no configuration' : response.val.message,
      },
      'failed to fetch a newer configuration from a peer',
    );
  }

  /** @param isLost whether there is no confirmation at all. */
  private askStore(isLost: boolean): void {
    const {freshness, watcher, store, logger} = this.options;
    const share = isLost ? URGENT_INTERVAL_SHARE : INTERVAL_SHARE;
    const interval = freshness.maximumAgeMilliseconds * share;
    const now = performance.now();
    if (now < this.storeAskedAtMilliseconds + interval) return;
    this.storeAskedAtMilliseconds = now;
    void watcher.confirmNow(store).then(error => {
      if (error)
        logger.debug(
          {reason: error.message},
          'the store did not confirm the configuration',
        );
    });
  }
}
