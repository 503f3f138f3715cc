import type {ProxyDependencies} from './proxy_dependencies.js';
import type {RegisterSingleton} from './register_singleton.js';

import {HoldTimeDistributions, ProxyDispatcher} from '@arbutustide/routing';

import {recordRequestMetrics} from './decision_metrics.js';
import {recordPlacement} from './leaving_metrics.js';
import {ProxyToken} from './proxy_tokens.js';

/** Registers what sends requests to upstreams and logs how they went. */
export function registerDispatcher(
  register: RegisterSingleton,
  {settings, connector, engineClient, logger, metrics}: ProxyDependencies,
): void {
  register(ProxyToken.DISPATCHER, container => {
    const retryBudgets = container.resolve(ProxyToken.RETRY_BUDGETS);
    const demandCounter = container.resolve(ProxyToken.DEMAND_COUNTER);
    const retryBorrower = container.resolve(ProxyToken.RETRY_BORROWER);
    const configurationWatcher = container.resolve(
      ProxyToken.CONFIGURATION_WATCHER,
    );
    return new ProxyDispatcher(container.resolve(ProxyToken.REQUEST_QUEUE), {
      connector,
      relay: container.resolve(ProxyToken.REQUEST_RELAY),
      paths: container.resolve(ProxyToken.REACHABILITY_MONITOR),
      recordRequest: service =>
        retryBudgets.forService(service).recordRequest(),
      recordRefusedDemand: entry => demandCounter.recordRefused(entry),
      tryConsumeRetry: service => {
        if (retryBudgets.forService(service).tryConsume()) return true;
        retryBorrower.request(service);
        return false;
      },
      onModelMissing: (upstream, model) =>
        upstream.recordObservedHolding(model, false),
      onSignals: container.resolve(ProxyToken.SIGNALS_HANDLER),
      onDecision: decision => {
        logger.info(decision, 'request');
        recordRequestMetrics(decision, metrics);
        recordPlacement(
          decision,
          metrics,
          container.resolve(ProxyToken.UPSTREAM_DIRECTORY),
          settings.failureDomain,
        );
      },
      poisonRequestDetector: container.resolve(
        ProxyToken.POISON_REQUEST_DETECTOR,
      ),
      poisonSegmentDetector: container.resolve(
        ProxyToken.POISON_SEGMENT_DETECTOR,
      ),
      streamOrigins: container.resolve(ProxyToken.STREAM_ORIGINS),
      gate: container.resolve(ProxyToken.REQUEST_GATE),
      answerPeriod: container.resolve(ProxyToken.SHUTDOWN_ADMISSION),
      streamTimes: new HoldTimeDistributions(),
      memoryMover: engineClient,
      movesMemory: service =>
        configurationWatcher.routes?.configuration.services.get(service)?.engine
          ?.movesMemory ?? false,
    });
  });
}
