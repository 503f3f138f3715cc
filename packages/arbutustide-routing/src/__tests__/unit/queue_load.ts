import type {CallerRequest, CallerResult} from './queue_cluster.js';
import type {QueueClusterSettings} from './queue_cluster.js';

import {install} from '@sinonjs/fake-timers';
import seedrandom from 'seedrandom';

import {QueueCluster} from './queue_cluster.js';
import {testRoute} from './proxy_fixtures.js';

/** Time after the last arrival in which every request has ended. */
const SETTLING_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Routes of the deployments, with their objectives and time limits. */
export const URGENT = testRoute({
  name: 'urgent',
  priority: 1,
  firstByteTargetMilliseconds: 503,
  callerTimeoutMilliseconds: 12_100,
});
export const SHORT = testRoute({
  name: 'short',
  priority: 1,
  firstByteTargetMilliseconds: 605,
  callerTimeoutMilliseconds: 3_000,
});
export const DEFERRED = testRoute({
  name: 'deferred',
  priority: 2,
  firstByteTargetMilliseconds: 6_000,
  callerTimeoutMilliseconds: 15_000,
});

/** Requests of one kind that arrive at random. */
export interface Arrivals {
  readonly caller: Omit<CallerRequest, 'holdMilliseconds'>;
  readonly perSecond: number;
  readonly fromSecond: number;
  readonly toSecond: number;
}

/** A cluster and what its callers send. */
export interface QueueLoad extends Omit<QueueClusterSettings, 'random'> {
  readonly seed: string;
  readonly meanHoldMilliseconds: number;
  readonly arrivals: readonly Arrivals[];
}

/** Slots that come free per second while all are in use. */
export function capacityPerSecond({
  heldModels,
  slots,
  meanHoldMilliseconds,
}: Pick<QueueLoad, 'heldModels' | 'slots' | 'meanHoldMilliseconds'>): number {
  const allSlots = heldModels.length * slots;
  return (allSlots * MILLISECONDS_PER_SECOND) / meanHoldMilliseconds;
}

/** Plays the load on a paused clock and returns what the callers got. */
export async function playQueueLoad(load: QueueLoad): Promise<CallerResult[]> {
  const clock = install();
  const random = seedrandom(load.seed);
  const cluster = new QueueCluster({...load, random});
  let lastSecond = 0;
  for (const {caller, perSecond, fromSecond, toSecond} of load.arrivals) {
    lastSecond = Math.max(lastSecond, toSecond);
    let second = fromSecond + exponential(random) / perSecond;
    while (second < toSecond) {
      const share = 0.2 + 0.8 * exponential(random);
      const holdMilliseconds = share * load.meanHoldMilliseconds;
      setTimeout(
        () => void cluster.call({...caller, holdMilliseconds}),
        second * MILLISECONDS_PER_SECOND,
      );
      second += exponential(random) / perSecond;
    }
  }
  await clock.tickAsync(
    lastSecond * MILLISECONDS_PER_SECOND + SETTLING_MILLISECONDS,
  );
  clock.uninstall();
  return cluster.results;
}

function exponential(random: () => number): number {
  return -Math.log(1 - random());
}

/** Whether a caller was answered before it gave up. */
export function isServed({
  route,
  slotAfterMilliseconds = Infinity,
}: CallerResult): boolean {
  return slotAfterMilliseconds <= route.callerTimeoutMilliseconds;
}

/** Whether a caller was answered within its objective. */
export function isOnTime({
  route,
  slotAfterMilliseconds = Infinity,
}: CallerResult): boolean {
  return slotAfterMilliseconds <= route.firstByteTargetMilliseconds;
}

/** Part of the results for which the predicate holds. */
export function shareOf(
  results: readonly CallerResult[],
  predicate: (result: CallerResult) => boolean,
): number {
  return results.filter(predicate).length / results.length;
}

/** Part of their time after which callers got their last refusal, on average. */
export function meanLostShare(results: readonly CallerResult[]): number {
  let sum = 0;
  let count = 0;
  for (const {route, lostAfterMilliseconds} of results) {
    if (lostAfterMilliseconds === undefined) continue;
    sum += lostAfterMilliseconds / route.callerTimeoutMilliseconds;
    count += 1;
  }
  return count === 0 ? 0 : sum / count;
}
