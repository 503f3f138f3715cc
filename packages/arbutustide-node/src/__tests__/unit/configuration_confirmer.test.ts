/**
 * Guards against nodes that serve keys which were revoked longer ago than the
 * bound, against nodes that refuse keys although a peer or the store could
 * confirm them, and against calls that grow with the number of nodes.
 */
import type {Clock} from '@sinonjs/fake-timers';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {BOUND_MILLISECONDS, ConfirmingCluster} from './confirming_cluster.js';

const STEP_MILLISECONDS = 50;
const SETTLING_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

for (const nodeCount of [1, 7, 91, 300]) {
  describe(`confirmation of the configuration, ${nodeCount} nodes`, function () {
    this.timeout(60_000);
    let clock: Clock;
    let cluster: ConfirmingCluster;

    beforeEach(async () => {
      clock = install({now: 1_000_000});
      cluster = new ConfirmingCluster(nodeCount);
      cluster.start();
      await clock.tickAsync(SETTLING_MILLISECONDS);
    });

    afterEach(() => {
      cluster.stop();
      clock.uninstall();
    });

    /** Share of the checks over this time in which a node serves keys. */
    async function servedShare(
      milliseconds: number,
      nodes = cluster.nodes,
    ): Promise<number> {
      let served = 0;
      let checks = 0;
      const endsAt = performance.now() + milliseconds;
      while (performance.now() < endsAt) {
        await clock.tickAsync(STEP_MILLISECONDS);
        for (const {serves} of nodes) served += serves ? 1 : 0;
        checks += nodes.length;
      }
      return served / checks;
    }

    it('serves all the time while the store answers', async () => {
      cluster.store.calls = 0;
      for (const node of cluster.nodes) node.peerCalls = 0;
      const milliseconds = 10_000;
      expect(await servedShare(milliseconds)).to.equal(1);
      const peerCalls = cluster.nodes.reduce(
        (sum, node) => sum + node.peerCalls,
        0,
      );
      const nodeSeconds = (nodeCount * milliseconds) / MILLISECONDS_PER_SECOND;
      expect(peerCalls / nodeSeconds).to.be.at.most(1);
    });

    it('serves nobody past the bound after the store has gone', async () => {
      cluster.store.isDown = true;
      await clock.tickAsync(0.9 * BOUND_MILLISECONDS + 50);
      expect(await servedShare(2_000)).to.equal(0);
      cluster.store.isDown = false;
      await clock.tickAsync(1_500);
      expect(await servedShare(2_000)).to.equal(1);
    });

    it('serves no revoked key later than the bound, whatever is cut off', async () => {
      for (const [index, node] of cluster.nodes.entries()) {
        node.isCutFromStore = index % 3 === 0;
        node.part = index % 7 === 0 ? 1 : 0;
      }
      cluster.store.write(2);
      const ackedAt = performance.now();
      while (performance.now() < ackedAt + 3 * BOUND_MILLISECONDS) {
        await clock.tickAsync(STEP_MILLISECONDS);
        const isLate = performance.now() >= ackedAt + BOUND_MILLISECONDS;
        for (const {serves, version, name} of cluster.nodes)
          if (isLate && serves) expect(version, name).to.equal(2);
      }
    });

    it('confirms nothing from a store that went back to a copy', async () => {
      cluster.store.write(2);
      await clock.tickAsync(1_000);
      cluster.store.restore(1);
      await clock.tickAsync(0.9 * BOUND_MILLISECONDS + 50);
      expect(await servedShare(1_000)).to.equal(0);
      cluster.store.write(3);
      await clock.tickAsync(1_500);
      expect(await servedShare(1_000)).to.equal(1);
    });

    for (const step of [3_600_000, -3_600_000, 400]) {
      it(`refuses for a moment when the wall clocks step by ${step} ms`, async () => {
        clock.setSystemTime(Date.now() + step);
        for (const {serves} of cluster.nodes) expect(serves).to.equal(false);
        await clock.tickAsync(100);
        expect(await servedShare(3_000)).to.be.at.least(0.97);
      });
    }

    it('keeps a version in force that the store replaced by an invalid one', async () => {
      cluster.store.write('invalid');
      await clock.tickAsync(BOUND_MILLISECONDS);
      expect(await servedShare(3_000)).to.equal(1);
    });

    if (nodeCount === 1) return;

    it('serves through peers where the store turns a third away', async () => {
      for (const [index, node] of cluster.nodes.entries())
        node.isCutFromStore = index % 3 === 0;
      expect(await servedShare(15_000)).to.equal(1);
    });

    it('serves through one node that alone reaches the store', async () => {
      for (const node of cluster.nodes.slice(1)) node.isCutFromStore = true;
      await clock.tickAsync(BOUND_MILLISECONDS);
      expect(await servedShare(10_000)).to.be.at.least(0.8);
      cluster.store.write(2);
      await clock.tickAsync(BOUND_MILLISECONDS);
      for (const {serves, version} of cluster.nodes)
        if (serves) expect(version).to.equal(2);
    });

    it('is not ready on the side of a partition that refuses', async () => {
      const [alone, ...others] = cluster.nodes;
      alone.part = 1;
      alone.isCutFromStore = true;
      await clock.tickAsync(BOUND_MILLISECONDS);
      expect(alone.confirmer.isCutOff).to.equal(true);
      cluster.store.isDown = true;
      await clock.tickAsync(BOUND_MILLISECONDS);
      for (const {confirmer} of others) {
        expect(confirmer.isRefusing).to.equal(true);
        expect(confirmer.isCutOff).to.equal(false);
      }
    });
  });
}
