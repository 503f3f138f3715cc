import type {
  HoldBack,
  ProxyUpstreamDirectory,
  RoutedRequestProgress,
  SlotQueueOptions,
} from '@arbutustide/routing';

import type {ProxyDependencies} from './proxy_dependencies.js';
import type {DependencyContainer} from 'tsyringe';

import {
  chooseRateLimited,
  chooseUpstream,
  compatibleUpstreams,
  expectedAcceptanceMilliseconds,
  NoUpstreamReason,
  ProxyUpstream,
  SlotQueue,
} from '@arbutustide/routing';

import {pickSettingsFactory} from './pick_settings.js';
import {ProxyToken} from './proxy_tokens.js';
import * as tuning from './proxy_tuning.js';
import {createEarlyRefusal} from './queue/create_early_refusal.js';
import {createHoldBack} from './queue/create_hold_back.js';
import {createServiceOrder} from './queue/create_service_order.js';

const NONE_EXCLUDED: ReadonlySet<ProxyUpstream> = new Set();

/** Creates the queue of requests that wait for a slot at an upstream. */
export function createSlotQueue(
  container: DependencyContainer,
  dependencies: ProxyDependencies,
): SlotQueue {
  const upstreamDirectory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const holdingRequester = container.resolve(ProxyToken.HOLDING_REQUESTER);
  const holdTimes = container.resolve(ProxyToken.SLOT_HOLD_TIMES);
  const distributions = container.resolve(ProxyToken.HOLD_TIME_DISTRIBUTIONS);
  const shutdownAdmission = container.resolve(ProxyToken.SHUTDOWN_ADMISSION);
  const order = createServiceOrder(container);
  const holdBack = createHoldBack(container, order);
  return new SlotQueue({
    chooseUpstream: createUpstreamChooser(container, dependencies, holdBack),
    predictWaitMilliseconds: (progress, reason, ahead) => {
      const {service, modelRequest} = progress.request;
      const upstreams = [
        ...compatibleUpstreams(
          upstreamDirectory.listByService(service),
          progress,
        ),
      ];
      if (reason === NoUpstreamReason.NOT_HELD) {
        const softwareVersion = findRequiredVersion(
          progress,
          upstreamDirectory,
        );
        const isLoadable =
          softwareVersion === undefined ||
          lacksOnlyAdapter(progress, upstreams);
        if (!modelRequest || !isLoadable) return undefined;
        return holdingRequester.expectedWaitMilliseconds(
          service,
          modelRequest,
          softwareVersion,
        );
      }
      return Math.max(
        tuning.MINIMUM_SERVICE_MILLISECONDS,
        expectedAcceptanceMilliseconds(upstreams, modelRequest, ahead),
      );
    },
    minimumServiceMilliseconds: () => tuning.MINIMUM_SERVICE_MILLISECONDS,
    onNotHeld: progress => {
      const {service, modelRequest} = progress.request;
      if (!modelRequest) return;
      const softwareVersion = findRequiredVersion(progress, upstreamDirectory);
      holdingRequester.requestHolding(service, modelRequest, softwareVersion);
    },
    observer: container.resolve(ProxyToken.DEMAND_COUNTER),
    order,
    refuseLate: (progress, waitMilliseconds) =>
      shutdownAdmission.refuseWaiting(progress, waitMilliseconds),
    earlyRefusal: createEarlyRefusal(container, holdTimes, dependencies.random),
    onSlotReturned: (request, heldMilliseconds, upstream, isWhole) => {
      holdTimes.record(request.service, heldMilliseconds);
      distributions.record(request, heldMilliseconds, isWhole);
      holdBack.recordReturned(upstream);
    },
  });
}

/**
 * The software version that an upstream must have to get what a stream needs;
 * undefined if any will do, as all upstreams of the service have the same.
 */
function findRequiredVersion(
  {request: {service}, origin}: RoutedRequestProgress,
  upstreamDirectory: ProxyUpstreamDirectory,
): string | undefined {
  if (!origin) return undefined;
  const {softwareVersion} = origin;
  for (const {description} of upstreamDirectory.listByService(service)) {
    if (description.softwareVersion !== softwareVersion) return softwareVersion;
  }
  return undefined;
}

/**
 * Whether one of the upstreams lacks at most the adapter that a request needs.
 * It is loaded in milliseconds; for a model, a stream of one of several versions
 * cannot wait, as the planner does not load models by version.
 */
function lacksOnlyAdapter(
  {request: {modelRequest}}: RoutedRequestProgress,
  upstreams: readonly ProxyUpstream[],
): boolean {
  if (modelRequest?.adapter === undefined) return false;
  const {model} = modelRequest;
  return upstreams.some(
    upstream => upstream.isReady && upstream.holdsModel(model),
  );
}

/**
 * Creates the choice of an upstream for a request, which also asks for tokens of
 * upstreams that limit their rate.
 */
function createUpstreamChooser(
  container: DependencyContainer,
  dependencies: ProxyDependencies,
  holdBack: HoldBack,
): SlotQueueOptions['chooseUpstream'] {
  const upstreamDirectory = container.resolve(ProxyToken.UPSTREAM_DIRECTORY);
  const tokenRequester = container.resolve(ProxyToken.TOKEN_REQUESTER);
  const brittleUpstreams = container.resolve(ProxyToken.BRITTLE_UPSTREAMS);
  const monitor = container.resolve(ProxyToken.REACHABILITY_MONITOR);
  const relay = container.resolve(ProxyToken.REQUEST_RELAY);
  const createPickSettings = pickSettingsFactory(container, dependencies);
  // A few upstreams that no peer can send to either are down and may come back.
  const mayWait = (progress: RoutedRequestProgress) =>
    !progress.isRelayed &&
    !monitor.isCutOff(progress.request.service) &&
    relay.choosePeer(progress) === undefined;
  return (progress, {isUrgent = false, isCandidate} = {}) => {
    const {request, triedUpstreams} = progress;
    const excluded = isCandidate ? NONE_EXCLUDED : triedUpstreams;
    const {service, modelRequest} = request;
    const brittleTerms = brittleUpstreams.termsFor(service);
    const settings = {
      ...createPickSettings(service, modelRequest !== undefined, isUrgent),
      brittleTerms,
      maySend: (upstream: ProxyUpstream) =>
        brittleUpstreams.maySend(upstream, brittleTerms),
    };
    const compatible = [
      ...compatibleUpstreams(
        upstreamDirectory.listByService(service),
        progress,
      ),
    ];
    const candidates = isCandidate
      ? compatible.filter(isCandidate)
      : compatible;
    const choice = chooseUpstream(candidates, modelRequest, excluded, settings);
    const limited = chooseRateLimited(
      candidates,
      modelRequest,
      excluded,
      settings,
    );
    if (choice === NoUpstreamReason.UNREACHABLE && mayWait(progress))
      return NoUpstreamReason.FULL;
    if (limited)
      tokenRequester.request(limited, !(choice instanceof ProxyUpstream));
    if (choice === NoUpstreamReason.FULL) holdBack.recordFull(progress);
    if (!(choice instanceof ProxyUpstream) || isUrgent) return choice;
    if (holdBack.withholds(progress, candidates, settings.fullShare))
      return NoUpstreamReason.FULL;
    return choice;
  };
}
