/**
 * Guards against a stream that goes on at another version because the node at
 * which it is resumed did not see the version that began it: it was cut off or
 * stood still while upstreams of that version joined and left.
 */
import type {OriginNode} from './stream_origin_cluster.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {OriginCluster, resumedVersion} from './stream_origin_cluster.js';

/** Longer than any stream lasts. */
const SETTLED_MILLISECONDS = 31_000;
const OUT_OF_STEP_MILLISECONDS = 4_000;
const BACK_MILLISECONDS = 500;
const ANSWER_MILLISECONDS = 2_500;

/** How a node gets out of step, and back. */
const WAYS: Readonly<
  Record<string, (node: OriginNode, isOutOfStep: boolean) => void>
> = {
  'cut off from the store': (node, isOutOfStep) => {
    node.isListStale = isOutOfStep;
  },
  'standing still': (node, isOutOfStep) => {
    node.isFrozen = isOutOfStep;
  },
};

describe('stream that is resumed at a node that was out of step', () => {
  let clock: ReturnType<typeof install>;
  let cluster: OriginCluster;
  let node: OriginNode;

  beforeEach(async () => {
    clock = install();
    cluster = new OriginCluster(7);
    [node] = cluster.nodes;
    cluster.listVersions('v1');
    await clock.tickAsync(SETTLED_MILLISECONDS);
  });

  afterEach(() => clock.uninstall());

  /** A second version joins, begins a stream and leaves, unseen by the node. */
  async function releaseUnseenBy(way: string): Promise<void> {
    WAYS[way](node, true);
    const others = cluster.nodes.filter(other => other !== node);
    for (const other of others) other.listVersions('v1', 'v2');
    others[0].begin('stream', 'v2');
    await clock.tickAsync(OUT_OF_STEP_MILLISECONDS);
    for (const other of others) other.listVersions('v1');
    WAYS[way](node, false);
    await clock.tickAsync(BACK_MILLISECONDS);
  }

  const resume = (requestId: string) =>
    resumedVersion(node, requestId, () => clock.tickAsync(ANSWER_MILLISECONDS));

  for (const way of Object.keys(WAYS)) {
    it(`goes on at the version that began it: ${way}`, async () => {
      await releaseUnseenBy(way);
      expect(await resume('stream')).to.equal('v2');
    });

    it(`is not guessed if nobody knows it: ${way}`, async () => {
      await releaseUnseenBy(way);
      expect(await resume('unknown')).to.equal(undefined);
    });

    it(`goes on if there was one version all the time: ${way}`, async () => {
      WAYS[way](node, true);
      await clock.tickAsync(OUT_OF_STEP_MILLISECONDS);
      WAYS[way](node, false);
      await clock.tickAsync(BACK_MILLISECONDS);
      expect(await resume('unknown')).to.equal('v1');
    });
  }

  it('is not guessed while the node sees no peer and an old list', async () => {
    node.isListStale = true;
    cluster.hide(cluster.nodes.filter(other => other !== node));
    await clock.tickAsync(OUT_OF_STEP_MILLISECONDS);
    expect(await resume('unknown')).to.equal(undefined);
  });
});
