/**
 * Guards against two nodes that issue the same part of a quota: one that has
 * just become an issuer, has just started or wakes up, while another one has
 * not noticed it yet.
 */
import type {ClusterNode} from '@arbutustide/membership';

import {NodeState} from '@arbutustide/membership';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {expectedNodeCount} from '../../proxy/quotas/expected_node_count.js';
import {QuotaMembership} from '../../proxy/quotas/quota_membership.js';

const TEAM = 'team';
const UPDATE_MILLISECONDS = 250;
const TAKEOVER_MILLISECONDS = 2_000;

describe('standing of an issuer of quotas', () => {
  let clock: ReturnType<typeof install>;
  let nodes: ClusterNode[];
  let share: number;
  let membership: QuotaMembership;

  beforeEach(() => {
    clock = install();
    share = 1;
    nodes = [createNode('a'), createNode('b')];
    membership = createMembership();
  });
  afterEach(() => clock.uninstall());

  function createMembership(mayHavePeers = true): QuotaMembership {
    return new QuotaMembership({
      identity: 'a',
      listNodes: () => nodes,
      reachableShare: () => share,
      mayHavePeers,
    });
  }

  /** Time until the node may issue; negative if it may. */
  function opensIn(): number | undefined {
    const standing = membership.standingOf(TEAM);
    return standing && standing.opensAtMilliseconds - performance.now();
  }

  function run(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += UPDATE_MILLISECONDS) {
      clock.tick(UPDATE_MILLISECONDS);
      membership.update();
    }
  }

  /** Nodes of which the own one is no issuer. */
  function addBetterNodes(): void {
    for (let index = 0; index < 100; index += 1)
      nodes.push(createNode(`other-${index}`));
  }

  it('is that of a node that has just started, which does not know all others', () => {
    expect(opensIn()).to.equal(3_000);
    run(3_000);
    expect(opensIn()).to.equal(0);
  });

  it('opens at once at a node that has no peers', () => {
    nodes = [createNode('a')];
    membership = createMembership(false);
    expect(opensIn()).to.equal(0);
  });

  it('opens only when the issuer before it has noticed', () => {
    addBetterNodes();
    run(10_000);
    expect(opensIn()).to.equal(undefined);
    nodes.length = 2;
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.equal(TAKEOVER_MILLISECONDS);
  });

  it('stays open over changes of other nodes, before the team is first asked for', () => {
    run(10_000);
    nodes = [createNode('a')];
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.be.below(0);
  });

  // Guards against refusals while the last nodes of a cluster stop together.
  it('stays open while all nodes leave, and closes if another one stays', () => {
    run(10_000);
    expect(opensIn()).to.be.below(0);
    nodes = nodes.map(node => ({...node, state: NodeState.LEAVING}));
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.be.below(0);
    nodes.push(createNode('c'));
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.equal(undefined);
  });

  it('begins anew after a pause in which others may have replaced the node', () => {
    run(10_000);
    clock.tick(2_600);
    expect(opensIn()).to.equal(TAKEOVER_MILLISECONDS);
  });

  it('begins anew after a suspension that the monotonic clock does not show', () => {
    run(10_000);
    clock.setSystemTime(Date.now() + 2_600);
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.equal(TAKEOVER_MILLISECONDS);
  });

  it('outlasts short pauses and backward steps of the wall clock', () => {
    run(10_000);
    clock.tick(2_000);
    clock.setSystemTime(Date.now() - 60_000);
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.be.below(0);
  });

  it('ends when the node leaves', () => {
    run(10_000);
    nodes = [{...createNode('a'), state: NodeState.LEAVING}, createNode('b')];
    run(UPDATE_MILLISECONDS);
    expect(opensIn()).to.equal(undefined);
  });

  it('covers a share that falls at once and rises late', () => {
    run(10_000);
    share = 0.5;
    run(UPDATE_MILLISECONDS);
    expect(membership.standingOf(TEAM)?.reachableShare).to.equal(0.5);
    share = 1;
    run(TAKEOVER_MILLISECONDS - UPDATE_MILLISECONDS);
    expect(membership.standingOf(TEAM)?.reachableShare).to.equal(0.5);
    run(2 * UPDATE_MILLISECONDS);
    expect(membership.standingOf(TEAM)?.reachableShare).to.equal(1);
  });

  it('counts a process and the one before it at its address once', () => {
    nodes = [
      createNode('a'),
      {...createNode('b'), identity: 'b-before'},
      createNode('b'),
    ];
    const urls = membership.listIssuers(TEAM).map(({peerUrl}) => peerUrl);
    expect(urls.sort()).to.deep.equal(['http://a', 'http://b']);
  });

  it('assumes as many nodes as the missing seeds stand for', () => {
    const known = new Set(['http://a', 'http://b', 'http://c']);
    expect(expectedNodeCount(known, [])).to.equal(3);
    expect(expectedNodeCount(known, ['http://a', 'http://d'])).to.equal(6);
    expect(expectedNodeCount(known, ['http://d', 'http://e'])).to.equal(5);
    expect(expectedNodeCount(known, [...known])).to.equal(3);
  });
});

function createNode(name: string): ClusterNode {
  return {
    identity: name,
    name,
    peerUrl: `http://${name}`,
    region: 'region',
    failureDomain: 'domain',
    state: NodeState.READY,
    catalogueRevision: 1,
    plannerEpoch: 0,
    protocolLevel: 1,
  };
}
