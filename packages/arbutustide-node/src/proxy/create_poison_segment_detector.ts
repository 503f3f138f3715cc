import type {NodeLogger} from '@arbutustide/telemetry';
import type {
  CrashCause,
  ProxyUpstreamDirectory,
  UpstreamCrash,
  UpstreamProcess,
} from '@arbutustide/routing';
import type {DependencyContainer} from 'tsyringe';

import {
  PoisonSegmentDetector,
  ProcessState,
  quarantineRefusal,
  ranSoFar,
} from '@arbutustide/routing';

import {ProxyToken} from './proxy_tokens.js';
import {
  CRASH_BROADCAST_PEERS,
  CRASH_NOTICE_DELAY_MILLISECONDS,
} from './proxy_tuning.js';

/**
 * Creates the detector of poison segments. Crashes and quarantines go to peers
 * without waiting for the next exchange: until they know, they pass on what crashes more upstreams.
 */
export function createPoisonSegmentDetector(
  container: DependencyContainer,
  logger: NodeLogger,
  identity: string,
): PoisonSegmentDetector {
  const directory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const tellPeers = createPeerNotifier(container);
  const detector = new PoisonSegmentDetector({
    identity,
    processState: process => findProcessState(directory, process),
    onCrash: crash => {
      logCrash(logger, crash);
      tellPeers();
    },
    onQuarantine: (segment, cause) => {
      logQuarantine(logger, segment, cause);
      refuseQueued(container, detector);
      if (cause) tellPeers();
    },
    onExonerated: segment => {
      logger.warn({segment}, 'quarantine of a prompt segment is lifted');
      tellPeers();
    },
  });
  return detector;
}

function findProcessState(
  directory: ProxyUpstreamDirectory,
  process: UpstreamProcess,
): ProcessState {
  if (directory.hasAnnouncedDeparture(process)) return ProcessState.LEAVING;
  const listedStart = directory.get(process.id)?.description.startedAt;
  return listedStart === process.startedAt
    ? ProcessState.RUNNING
    : ProcessState.ENDED;
}

/**
 * Returns a function that tells peers what this node has published. The requests
 * of one crash are lost one after another, so calls are combined.
 */
function createPeerNotifier(container: DependencyContainer): () => void {
  let isScheduled = false;
  return () => {
    if (isScheduled) return;
    isScheduled = true;
    setTimeout(() => {
      isScheduled = false;
      container.resolve(ProxyToken.OWN_STATUS).publish();
      void container
        .resolve(ProxyToken.GOSSIP)
        .broadcast(CRASH_BROADCAST_PEERS);
    }, CRASH_NOTICE_DELAY_MILLISECONDS);
  };
}

/** Refuses at once what waits for a slot and must not get one. */
function refuseQueued(
  container: DependencyContainer,
  detector: PoisonSegmentDetector,
): void {
  container
    .resolve(ProxyToken.REQUEST_QUEUE)
    .refuseQueued(progress =>
      detector.isQuarantined(progress.request)
        ? quarantineRefusal(ranSoFar(progress))
        : undefined,
    );
}

function logCrash(
  logger: NodeLogger,
  {process, begun, unbegun}: UpstreamCrash,
): void {
  logger.warn(
    {
      upstream: process.id,
      startedAt: process.startedAt,
      begunRequests: begun.requestCount,
      begunSegments: [...begun.segments],
      unbegunRequests: unbegun.requestCount,
    },
    'upstream crashed with requests in flight',
  );
}

function logQuarantine(
  logger: NodeLogger,
  segment: string,
  cause: CrashCause | undefined,
): void {
  const evidence = cause
    ? {crashes: cause.crashes, chance: cause.chance}
    : {decidedBy: 'peer'};
  logger.warn(
    {segment, ...evidence},
    'prompt segment is quarantined: upstreams crash on it',
  );
}
