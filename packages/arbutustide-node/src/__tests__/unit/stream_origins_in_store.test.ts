/**
 * Guards against streams that are spliced or refused after the loss of all
 * nodes because the object store holds too little or too late, and against
 * calls to the store that grow with the fleet or with time.
 */
import type {ResolvedOrigin} from '@arbutustide/routing';

import {OriginKnowledge} from '@arbutustide/routing';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  digestRequestId,
  includesDigest,
} from '../../proxy/stream_origin/request_digest.js';
import {OriginCluster} from './stream_origin_cluster.js';
import {TEST_STORAGE} from './stream_origin_store.js';

const VERSIONS = ['v1', 'v1.1'];
/** Bound of decision 0014 on the age of what is lost with all nodes. */
const ARCHIVED_MILLISECONDS = 500;
/** Time within which a resumed request is decided. */
const DECISION_MILLISECONDS = 1_100;
/** For nodes to write and read the versions that are listed. */
const SEEN_MILLISECONDS = 1_000;
/** When a caller that was refused tries again. */
const RETRY_AFTER_MILLISECONDS = 500;
const LIFETIME_MILLISECONDS = 30_000;
const SLOTS = 24;
const NODES_PER_ARCHIVER = 24;
const WRITES_PER_SECOND = 5;

describe('origins of streams in the object store', function () {
  this.timeout(120_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  /** Result and time of a decision on a resumed request at one node. */
  async function decide(
    cluster: OriginCluster,
    requestId: string | undefined,
    nodeIndex = 0,
  ): Promise<{resolved?: ResolvedOrigin; milliseconds: number}> {
    const startedAt = performance.now();
    const answer: {resolved?: ResolvedOrigin; milliseconds: number} = {
      milliseconds: Infinity,
    };
    void cluster.nodes[nodeIndex].resume(requestId).then(resolved => {
      answer.resolved = resolved;
      answer.milliseconds = performance.now() - startedAt;
    });
    await clock.tickAsync(DECISION_MILLISECONDS);
    return answer;
  }

  async function versionAfter(
    cluster: OriginCluster,
    requestId: string | undefined,
    nodeIndex = 0,
  ): Promise<string | undefined> {
    const {resolved} = await decide(cluster, requestId, nodeIndex);
    return resolved?.knowledge === OriginKnowledge.KNOWN
      ? resolved.origin.softwareVersion
      : undefined;
  }

  const storedVersions = (cluster: OriginCluster) =>
    [...cluster.store.objects.values()]
      .filter(({key}) => key.startsWith(TEST_STORAGE.historyPrefix))
      .flatMap(({value}) => TEST_STORAGE.decodeHistory(value).unwrap())
      .flatMap(({softwareVersions}) => softwareVersions);

  for (const nodeCount of [7, 91, 195]) {
    it(`are there ${ARCHIVED_MILLISECONDS} ms after the first event at ${nodeCount} nodes`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions(...VERSIONS);
      await clock.tickAsync(SEEN_MILLISECONDS);
      for (const [index, node] of cluster.nodes.entries())
        node.begin(`stream-${index}`, VERSIONS[index % 2]);
      await clock.tickAsync(ARCHIVED_MILLISECONDS);
      cluster.restartAll();
      for (let index = 0; index < 7; index += 1) {
        const version = await versionAfter(cluster, `stream-${index}`, index);
        expect(version).to.equal(VERSIONS[index % 2]);
      }
    });

    it(`cost ${nodeCount} nodes one read each while one version serves`, async () => {
      const cluster = new OriginCluster(nodeCount);
      const {store, nodes} = cluster;
      cluster.listVersions('v1');
      await clock.tickAsync(SEEN_MILLISECONDS);
      expect(store.writes).to.equal(1);
      expect(store.reads).to.be.at.most(nodeCount + 1);
      const {reads} = store;
      for (const node of nodes) node.begin(`of ${node.name}`, 'v1');
      await clock.tickAsync(LIFETIME_MILLISECONDS + SEEN_MILLISECONDS);
      expect(store).to.include({writes: 1, reads});
    });

    it(`cost the archivers of ${nodeCount} nodes five writes a second`, async () => {
      const cluster = new OriginCluster(nodeCount);
      cluster.listVersions(...VERSIONS);
      await clock.tickAsync(SEEN_MILLISECONDS);
      const seconds = 10;
      const before = cluster.store.writes;
      for (let round = 0; round < 4 * seconds; round += 1) {
        for (const [index, node] of cluster.nodes.entries())
          node.begin(`${round}-${index}`, VERSIONS[index % 2]);
        await clock.tickAsync(250);
      }
      const archivers = Math.ceil(nodeCount / NODES_PER_ARCHIVER);
      const {store} = cluster;
      expect(store.writes - before).to.be.at.most(
        archivers * WRITES_PER_SECOND * seconds,
      );
      // A record takes 11 bytes and shares the names with others. One in twelve
      // is written twice: by its archiver, and by a keeper that is another one.
      const sizes = store.sizes(TEST_STORAGE.archivePrefix);
      const size = sizes.reduce((sum, bytes) => sum + bytes, 0);
      const streams = 4 * seconds * nodeCount;
      expect(size).to.be.at.most(12 * streams + 200 * sizes.length);
    });
  }

  it('fill a bounded number of objects, whichever node archives', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    for (let round = 0; round < 4; round += 1) {
      for (let count = 0; count < LIFETIME_MILLISECONDS / 500; count += 1) {
        cluster.nodes[0].begin(`${round}-${count}`, 'v1');
        await clock.tickAsync(500);
      }
      cluster.restartAll();
      expect(await versionAfter(cluster, `${round}-59`)).to.equal('v1');
      expect(await versionAfter(cluster, `${round}-5`, 1)).to.equal('v1');
    }
    const {length} = cluster.store.sizes(TEST_STORAGE.archivePrefix);
    expect(length).to.be.at.most(SLOTS);
  });

  it('are archived elsewhere when the archiver does not answer', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    for (const node of cluster.nodes) node.begin(`of ${node.name}`, 'v1');
    await clock.tickAsync(SEEN_MILLISECONDS);
    // Each node is silent once, and so is the archiver.
    for (const silent of cluster.nodes) {
      silent.isSilent = true;
      for (const node of cluster.nodes)
        node.begin(`${node.name} beside ${silent.name}`, 'v1.1');
      await clock.tickAsync(2_500);
      silent.isSilent = false;
    }
    cluster.restartAll();
    for (const silent of cluster.nodes) {
      for (const node of cluster.nodes) {
        if (node === silent) continue;
        const id = `${node.name} beside ${silent.name}`;
        expect(await versionAfter(cluster, id), id).to.equal('v1.1');
      }
    }
  });

  for (const isNew of [true, false]) {
    it(`are found although no keeper answers a node that ${isNew ? 'is new' : 'has run for long'}`, async () => {
      const cluster = new OriginCluster(7);
      cluster.listVersions(...VERSIONS);
      await clock.tickAsync(
        isNew ? SEEN_MILLISECONDS : LIFETIME_MILLISECONDS + SEEN_MILLISECONDS,
      );
      const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
      for (const id of ids) cluster.nodes[1].begin(id, 'v1');
      await clock.tickAsync(ARCHIVED_MILLISECONDS);
      const [asked, ...others] = cluster.nodes;
      if (isNew) asked.restart();
      for (const node of others) node.isGone = true;
      cluster.store.latencyMilliseconds = 300;
      for (const id of ids) {
        const {resolved, milliseconds} = await decide(cluster, id);
        expect(resolved?.knowledge, id).to.equal(OriginKnowledge.KNOWN);
        expect(milliseconds).to.be.at.most(600);
      }
    });
  }

  it('are not proved by a list that is out of date while keepers are silent', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    await clock.tickAsync(LIFETIME_MILLISECONDS + SEEN_MILLISECONDS);
    const [cutOff, ...others] = cluster.nodes;
    cutOff.isListStale = true;
    expect(await versionAfter(cluster, 'stream')).to.equal('v1');
    for (const node of others) {
      node.listVersions(...VERSIONS);
      node.isSilent = true;
    }
    expect(await versionAfter(cluster, 'stream')).to.equal(undefined);
  });

  it('are looked for again after the archive could not be read', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(LIFETIME_MILLISECONDS + SEEN_MILLISECONDS);
    const [asked, ...others] = cluster.nodes;
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    for (const id of ids) others[0].begin(id, 'v1');
    await clock.tickAsync(ARCHIVED_MILLISECONDS);
    for (const node of others) node.isGone = true;
    cluster.store.isDown = true;
    void asked.resume('other');
    await clock.tickAsync(300);
    cluster.store.isDown = false;
    const resolved = Promise.all(ids.map(id => asked.resume(id)));
    await clock.tickAsync(DECISION_MILLISECONDS);
    for (const {knowledge} of await resolved)
      expect(knowledge).to.equal(OriginKnowledge.KNOWN);
  });

  it('are written once the store serves again', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(SEEN_MILLISECONDS);
    cluster.store.isDown = true;
    cluster.nodes[0].begin('stream', 'v1');
    await clock.tickAsync(5_000);
    cluster.store.isDown = false;
    await clock.tickAsync(2_000);
    cluster.restartAll();
    expect(await versionAfter(cluster, 'stream')).to.equal('v1');
  });

  for (const versions of [['v1'], VERSIONS]) {
    it(`are unknown at once after a loss of all nodes while the store is down and ${versions.length} versions serve`, async () => {
      const cluster = new OriginCluster(7);
      cluster.listVersions(...versions);
      await clock.tickAsync(SEEN_MILLISECONDS);
      cluster.nodes[0].begin('stream', 'v1');
      await clock.tickAsync(ARCHIVED_MILLISECONDS);
      cluster.store.isDown = true;
      cluster.restartAll();
      const {resolved, milliseconds} = await decide(cluster, 'stream');
      expect(resolved?.knowledge).to.equal(OriginKnowledge.UNKNOWN);
      expect(milliseconds).to.be.at.most(50);
      cluster.store.isDown = false;
      await clock.tickAsync(RETRY_AFTER_MILLISECONDS);
      expect(await versionAfter(cluster, 'stream')).to.equal('v1');
    });
  }

  it('are waited for, but not longer than a second, when the store is slow', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    await clock.tickAsync(SEEN_MILLISECONDS);
    cluster.store.latencyMilliseconds = 600;
    cluster.restartAll();
    expect(await versionAfter(cluster, 'stream')).to.equal('v1');
    cluster.store.latencyMilliseconds = 3_000;
    cluster.restartAll();
    const {resolved} = await decide(cluster, 'stream');
    expect(resolved?.knowledge).to.equal(OriginKnowledge.UNKNOWN);
    await clock.tickAsync(3_000);
    expect(await versionAfter(cluster, 'stream')).to.equal('v1');
  });

  it('read the archive at most once a second, however many are unknown', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(LIFETIME_MILLISECONDS);
    const before = cluster.store.reads;
    for (let count = 0; count < 100; count += 1) {
      void cluster.nodes[0].resume(`unknown-${count}`);
      await clock.tickAsync(25);
    }
    await clock.tickAsync(SEEN_MILLISECONDS);
    expect(cluster.store.reads - before).to.be.at.most(3);
  });

  it('are not looked for under an id that no caller can have', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(SEEN_MILLISECONDS);
    const before = cluster.store.reads;
    for (const id of ['x'.repeat(8_192), '', undefined])
      expect(await versionAfter(cluster, id)).to.equal(undefined);
    expect(cluster.store.reads).to.equal(before);
  });

  it('are not proved by a history that cannot be decoded', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions('v1');
    await clock.tickAsync(SEEN_MILLISECONDS);
    for (const [key, object] of cluster.store.objects)
      cluster.store.objects.set(key, {...object, value: undefined});
    cluster.restartAll();
    expect(await versionAfter(cluster, 'stream')).to.equal(undefined);
  });

  it('keep a version for as long as a stream may last after it has left', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(SEEN_MILLISECONDS);
    cluster.listVersions('v1.1');
    await clock.tickAsync(LIFETIME_MILLISECONDS - SEEN_MILLISECONDS);
    expect(storedVersions(cluster)).to.have.members(VERSIONS);
    // What was observed before a restart does not count.
    cluster.restartAll();
    await clock.tickAsync(LIFETIME_MILLISECONDS - SEEN_MILLISECONDS);
    expect(storedVersions(cluster)).to.have.members(VERSIONS);
    await clock.tickAsync(3 * SEEN_MILLISECONDS);
    expect(storedVersions(cluster)).to.eql(['v1.1']);
    cluster.restartAll();
    expect(await versionAfter(cluster, 'stream')).to.equal('v1.1');
  });

  it('keep a version while the list is not confirmed', async () => {
    const cluster = new OriginCluster(7);
    cluster.listVersions(...VERSIONS);
    await clock.tickAsync(SEEN_MILLISECONDS);
    cluster.listVersions('v1.1');
    for (const node of cluster.nodes) node.isListStale = true;
    await clock.tickAsync(2 * LIFETIME_MILLISECONDS);
    expect(storedVersions(cluster)).to.have.members(VERSIONS);
  });

  it('keep the versions of all when nodes that see different lists write', async () => {
    const cluster = new OriginCluster(7);
    for (const [index, node] of cluster.nodes.entries())
      node.listVersions(`v${index}`);
    cluster.restartAll();
    await clock.tickAsync(5 * SEEN_MILLISECONDS);
    expect(storedVersions(cluster)).to.include.members(['v0', 'v3', 'v6']);
  });

  it('are found by whole digests only', () => {
    const digests = ['a', 'b', 'c'].map(digestRequestId);
    const sequence = digests.join('');
    for (const digest of digests)
      expect(includesDigest(sequence, digest)).to.equal(true);
    expect(includesDigest(sequence, sequence.slice(3, 14))).to.equal(false);
    expect(includesDigest('', digests[0])).to.equal(false);
  });
});
