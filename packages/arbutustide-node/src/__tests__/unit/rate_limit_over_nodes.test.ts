/**
 * Guards against nodes that together send an upstream more requests than the
 * rate it names, in fleets of several sizes, and against a limit that is hardly
 * used.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RateLimitedCluster} from './rate_limited_cluster.js';

const COUNTED_WINDOW_MILLISECONDS = 4_000;
/** Excess over the rate, and over the product, that the platform allows. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXCESS = 5;
/** Time from the first answer with a limit until it must be kept. */
const STABILITY_WINDOW_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 10;
/** Each node wants to send a request this often. */
const ATTEMPT_INTERVAL_STEPS = 5;

describe('rate limit of an upstream over all nodes', function () {
  this.timeout(60_000);
  let clock: ReturnType<typeof install>;
  let sentAt: number[];

  beforeEach(() => {
    clock = install();
    sentAt = [];
  });
  afterEach(() => clock.uninstall());

  /** Every node has more requests than it may send. */
  async function run(
    cluster: RateLimitedCluster,
    milliseconds: number,
  ): Promise<void> {
    const steps = milliseconds / STEP_MILLISECONDS;
    for (let step = 0; step < steps; step += 1) {
      for (const [index, node] of cluster.nodes.entries()) {
        const isDue = (step + index) % ATTEMPT_INTERVAL_STEPS === 0;
        if (isDue && node.trySend()) sentAt.push(performance.now());
      }
      await clock.tickAsync(STEP_MILLISECONDS);
    }
  }

  function highestCount(from: number): number {
    const counted = sentAt.filter(at => at >= from);
    let highest = 0;
    let first = 0;
    for (const [last, at] of counted.entries()) {
      while (at - counted[first] >= COUNTED_WINDOW_MILLISECONDS) first += 1;
      highest = Math.max(highest, last - first + 1);
    }
    return highest;
  }

  function allowedCount(requestsPerSecond: number): number {
    const seconds = COUNTED_WINDOW_MILLISECONDS / 1_000;
    return ALLOWED_FACTOR * requestsPerSecond * seconds + ALLOWED_EXCESS;
  }

  for (const nodeCount of [1, 7, 60, 195]) {
    for (const rate of [0.25, 1, 4.2, 30]) {
      it(`is kept and used by ${nodeCount} nodes at ${rate} a second`, async () => {
        const cluster = new RateLimitedCluster(nodeCount, rate);
        await run(cluster, STABILITY_WINDOW_MILLISECONDS);
        const from = performance.now();
        await run(cluster, 12_000);
        expect(highestCount(from)).to.be.at.most(allowedCount(rate));
        const sent = sentAt.filter(at => at >= from).length;
        expect(sent).to.be.at.least(Math.floor(0.5 * rate * 12));
      });
    }

    if (nodeCount === 1) continue;
    it(`is kept by ${nodeCount} nodes while they are partitioned`, async () => {
      const rate = 4.2;
      const cluster = new RateLimitedCluster(nodeCount, rate);
      await run(cluster, STABILITY_WINDOW_MILLISECONDS);
      const from = performance.now();
      cluster.partition(({name}) => Number(name.endsWith('1')));
      await run(cluster, 20_000);
      cluster.partition(() => 0);
      await run(cluster, 10_000);
      expect(highestCount(from)).to.be.at.most(allowedCount(rate));
    });

    it(`is kept by ${nodeCount} nodes when the issuer starts again, and by the next one when it is gone`, async () => {
      const rate = 4.2;
      const cluster = new RateLimitedCluster(nodeCount, rate);
      await run(cluster, STABILITY_WINDOW_MILLISECONDS);
      const from = performance.now();
      for (let restart = 0; restart < 3; restart += 1) {
        cluster.issuer.restart();
        await run(cluster, 1_500);
      }
      const {issuer} = cluster;
      cluster.partition(node => Number(node === issuer));
      await run(cluster, 5_000);
      const withoutIssuer = sentAt.length;
      await run(cluster, 5_000);
      expect(highestCount(from)).to.be.at.most(allowedCount(rate));
      expect(sentAt.length - withoutIssuer).to.be.at.least(0.5 * rate * 5);
    });

    it(`is kept by ${nodeCount} nodes that have asked for tokens without using them`, async () => {
      const rate = 4.2;
      const cluster = new RateLimitedCluster(nodeCount, rate);
      await run(cluster, STABILITY_WINDOW_MILLISECONDS);
      const from = performance.now();
      for (let step = 0; step < 400; step += 1) {
        for (const node of cluster.nodes) node.requestToken();
        await clock.tickAsync(10 * STEP_MILLISECONDS);
      }
      await run(cluster, 5_000);
      expect(highestCount(from)).to.be.at.most(allowedCount(rate));
    });
  }
});
