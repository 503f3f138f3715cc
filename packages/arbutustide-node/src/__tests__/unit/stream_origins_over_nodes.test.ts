/**
 * Guards against a stream whose origin is forgotten with the node that began
 * it or with all nodes, guessed after a restart, or told to more nodes the larger the fleet is.
 * Load: four streams a second begin at each node.
 */
import type {ResolvedOrigin} from '@arbutustide/routing';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {OriginCluster} from './stream_origin_cluster.js';

const VERSIONS = ['v1', 'v1.1'];
/** Longer than records are collected before they are sent. */
const BATCH_MILLISECONDS = 250;
/** Time until a peer has answered, at most. */
const ANSWER_MILLISECONDS = 30;
const CALL_TIMEOUT_MILLISECONDS = 1_100;
const STREAMS_PER_NODE = 12;
const STREAM_INTERVAL_MILLISECONDS = 250;
/** Longer than any stream lasts. */
const SETTLED_MILLISECONDS = 31_000;
/** For a version that appears to be noticed by all nodes. */
const SEEN_MILLISECONDS = 1_000;
/** Nodes whose streams are resumed where all would take too long. */
const SAMPLED_NODES = 12;

describe('origins of streams over all nodes', function () {
  this.timeout(60_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  const versionOf = (index: number) => VERSIONS[index % VERSIONS.length];

  /** Begins streams at all nodes; returns their ids with their versions. */
  async function beginStreams(
    cluster: OriginCluster,
    chooseVersion = versionOf,
  ): Promise<Map<string, string>> {
    const streams = new Map<string, string>();
    for (let round = 0; round < STREAMS_PER_NODE; round += 1) {
      for (const node of cluster.nodes) {
        const requestId = `${node.name}-${round}-0123456789abcdef`;
        const version = chooseVersion(streams.size);
        node.begin(requestId, version);
        streams.set(requestId, version);
      }
      await clock.tickAsync(STREAM_INTERVAL_MILLISECONDS);
    }
    await clock.tickAsync(BATCH_MILLISECONDS);
    return streams;
  }

  async function resumeAt(
    cluster: OriginCluster,
    index: number,
    requestId: string | undefined,
  ): Promise<string | undefined> {
    const running = cluster.nodes.filter(({isGone}) => !isGone);
    let resolved: ResolvedOrigin | undefined;
    const pending = running[index % running.length]
      .resume(requestId)
      .then(origin => {
        resolved = origin;
      });
    await clock.tickAsync(ANSWER_MILLISECONDS);
    // Nodes that are gone answer no call.
    if (!resolved) await clock.tickAsync(CALL_TIMEOUT_MILLISECONDS);
    await pending;
    return resolved && softwareVersionOf(resolved);
  }

  /** Version to resume at; undefined if it is not known. */
  function softwareVersionOf(resolved: ResolvedOrigin): string | undefined {
    return 'origin' in resolved ? resolved.origin.softwareVersion : undefined;
  }

  for (const nodeCount of [7, 60, 195]) {
    it(`are found at any of ${nodeCount} nodes when the node that began a stream is gone`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions(...VERSIONS);
      const streams = await beginStreams(cluster);
      const [gone] = cluster.nodes;
      gone.isGone = true;
      const own = [...streams].filter(([id]) => id.startsWith(`${gone.name}-`));
      for (const isSeen of [false, true]) {
        if (isSeen) cluster.expireGoneNodes();
        for (const [index, [requestId, version]] of own.entries())
          expect(await resumeAt(cluster, index, requestId)).to.equal(version);
      }
    });

    it(`cost each of ${nodeCount} nodes the same, and nothing while one version serves`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions('v1');
      await clock.tickAsync(SETTLED_MILLISECONDS);
      await beginStreams(cluster, () => 'v1');
      expect(await resumeAt(cluster, 0, 'unknown')).to.equal('v1');
      const sum = (key: 'sentBytes' | 'sentCalls') =>
        cluster.nodes.reduce((total, node) => total + node[key], 0) / nodeCount;
      expect(sum('sentBytes')).to.equal(0);
      cluster.listVersions(...VERSIONS);
      await clock.tickAsync(SETTLED_MILLISECONDS);
      const before = {bytes: sum('sentBytes'), calls: sum('sentCalls')};
      await beginStreams(cluster);
      // Two keepers and an archiver. A record has an id of 24 bytes, and shares
      // its version with others.
      const records = 3 * STREAMS_PER_NODE;
      expect(sum('sentCalls') - before.calls).to.be.at.most(records);
      expect(sum('sentBytes') - before.bytes).to.be.at.most(60 * records);
    });
  }

  it('are told when a second version appears, also of streams that began before', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    const streams = await beginStreams(cluster, () => 'v1');
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(BATCH_MILLISECONDS);
    cluster.nodes[0].isGone = true;
    for (const [index, [requestId]] of [...streams].entries())
      expect(await resumeAt(cluster, index, requestId)).to.equal('v1');
  });

  it('are still asked for after the version that began them has left', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    const streams = await beginStreams(cluster);
    cluster.listVersions('v1.1');
    cluster.nodes[0].isGone = true;
    for (const [index, [requestId, version]] of [...streams].entries())
      expect(await resumeAt(cluster, index, requestId)).to.equal(version);
    expect(await resumeAt(cluster, 0, undefined)).to.equal(undefined);
  });

  it('are not guessed by a node that has started after a version left', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    cluster.listVersions('v1.1');
    const [restarted] = cluster.nodes;
    restarted.restart();
    expect(await resumeAt(cluster, 0, 'unknown')).to.equal(undefined);
  });

  it('do not keep callers waiting for silent nodes while one version serves', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    await clock.tickAsync(SEEN_MILLISECONDS);
    const [restarted, ...others] = cluster.nodes;
    restarted.restart();
    for (const node of others) node.isGone = true;
    let resolved: ResolvedOrigin | undefined;
    void restarted.resume('unknown').then(origin => {
      resolved = origin;
    });
    await clock.tickAsync(300);
    expect(resolved && softwareVersionOf(resolved)).to.equal('v1');
  });

  for (const nodeCount of [7, 195]) {
    it(`never go on at the version that is left after all ${nodeCount} nodes were lost`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions('v1');
      await clock.tickAsync(SETTLED_MILLISECONDS);
      const [requestId] = await beginStreams(cluster, () => 'v1').then(
        streams => [...streams.keys()],
      );
      cluster.listVersions(...VERSIONS);
      await clock.tickAsync(SEEN_MILLISECONDS);
      cluster.listVersions('v1.1');
      cluster.restartAll();
      for (const id of [requestId, 'unknown', undefined])
        expect(await resumeAt(cluster, 0, id)).to.not.equal('v1.1');
    });

    it(`go on at their versions after all ${nodeCount} nodes were lost`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions(...VERSIONS);
      const streams = await beginStreams(cluster);
      cluster.restartAll();
      for (const [index, [requestId, version]] of [...streams].entries()) {
        if (index % nodeCount > SAMPLED_NODES) continue;
        expect(await resumeAt(cluster, index, requestId)).to.equal(version);
      }
      expect(await resumeAt(cluster, 0, 'unknown')).to.equal(undefined);
    });
  }

  it('are known for streams that begin after all nodes have started again', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await beginStreams(cluster);
    cluster.restartAll();
    const [node] = cluster.nodes;
    node.begin('new', 'v1');
    await clock.tickAsync(BATCH_MILLISECONDS);
    node.isGone = true;
    expect(await resumeAt(cluster, 0, 'new')).to.equal('v1');
  });

  it('are those of the one version after all nodes have started again', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    for (const node of cluster.nodes) node.restart();
    expect(await resumeAt(cluster, 0, 'unknown')).to.equal('v1');
  });
});
