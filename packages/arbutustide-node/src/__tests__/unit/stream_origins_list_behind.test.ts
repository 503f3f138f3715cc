/**
 * Guards against a stream that goes on at another version because the node at
 * which it is resumed has not read of the version that began it: its watch is
 * late or refused, or the version came and went between two looks at the list.
 */
import type {OriginNode} from './stream_origin_cluster.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ASKED_KEEPERS} from '../../proxy/stream_origin/choose_origin_keepers.js';
import {OriginCluster, resumedVersion} from './stream_origin_cluster.js';

/** Longer than any stream lasts. */
const SETTLED_MILLISECONDS = 31_000;
/** Origins are told to their keepers in batches of this time, and a call. */
const TOLD_MILLISECONDS = 300;
const ANSWER_MILLISECONDS = 2_500;
const BURST_STREAMS = 20;

describe('stream that is resumed at a node whose list is behind', () => {
  let clock: ReturnType<typeof install>;
  let cluster: OriginCluster;
  let node: OriginNode;
  let others: OriginNode[];

  beforeEach(async () => {
    clock = install();
    cluster = new OriginCluster(7);
    [node, ...others] = cluster.nodes;
    cluster.listVersions('v1');
    await clock.tickAsync(SETTLED_MILLISECONDS);
  });

  afterEach(() => clock.uninstall());

  /** A second version joins and begins a stream; the node lists only the first. */
  async function releaseUnlisted(): Promise<void> {
    node.pendingVersions = ['v2'];
    for (const other of others) other.listVersions('v1', 'v2');
    others[0].begin('stream', 'v2');
    await clock.tickAsync(TOLD_MILLISECONDS);
  }

  const resume = (requestId: string) =>
    resumedVersion(node, requestId, () => clock.tickAsync(ANSWER_MILLISECONDS));

  for (const isTurnedAway of [false, true]) {
    const title = isTurnedAway ? 'the store refuses it' : 'its watch is late';

    it(`goes on at the version that began it: ${title}`, async () => {
      node.isTurnedAway = isTurnedAway;
      await releaseUnlisted();
      expect(await resume('stream')).to.equal('v2');
    });

    it(`is not guessed if nobody knows it: ${title}`, async () => {
      node.isTurnedAway = isTurnedAway;
      await releaseUnlisted();
      expect(await resume('unknown')).to.equal(undefined);
    });

    it(`goes on if there is one version only: ${title}`, async () => {
      node.isTurnedAway = isTurnedAway;
      expect(await resume('unknown')).to.equal('v1');
    });
  }

  it('is not guessed if the store refuses all nodes but one', async () => {
    node.pendingVersions = ['v2'];
    const [reader, ...refused] = others;
    reader.listVersions('v1', 'v2');
    for (const each of [node, ...refused]) each.isTurnedAway = true;
    for (let index = 0; index < ASKED_KEEPERS; index += 1)
      expect(await resume(`unknown-${index}`)).to.equal(undefined);
  });

  it('goes on if the store answers no node and all list one version', async () => {
    cluster.store.isDown = true;
    expect(await resume('unknown')).to.equal('v1');
  });

  it('is not guessed after a version that came and went at once', async () => {
    node.listVersionBriefly('v2');
    expect(await resume('unknown')).to.equal(undefined);
  });

  it('costs one read of the store for many streams at the same time', async () => {
    const before = node.listReads;
    const resumed = Array.from({length: BURST_STREAMS}, (_, index) =>
      node.resume(`unknown-${index}`),
    );
    await clock.tickAsync(ANSWER_MILLISECONDS);
    await Promise.all(resumed);
    expect(node.listReads - before).to.equal(1);
  });
});
