import {NodeState} from '@arbutustide/membership';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ReachableNodes} from '../../proxy/quotas/reachable_nodes.js';

const RETENTION_MILLISECONDS = 10_000;
const {READY, LEAVING} = NodeState;

describe('share of the nodes that are reachable for quotas', () => {
  let clock: ReturnType<typeof install>;
  let nodes: {peerUrl: string; state: NodeState}[];
  let reachable: ReachableNodes;

  beforeEach(() => {
    clock = install();
    nodes = ['a', 'b', 'c', 'd'].map(createNode);
    reachable = new ReachableNodes({
      listNodes: () => nodes,
      initialNodeCount: 8,
      retentionMilliseconds: RETENTION_MILLISECONDS,
      countExpected: ({size}) => size,
    });
    reachable.update();
  });
  afterEach(() => clock.uninstall());

  function createNode(peerUrl: string) {
    return {peerUrl, state: READY};
  }

  // Guards against parts of a partition that each issue the whole quota.
  it('counts nodes that vanished, until the retention time has passed', () => {
    nodes.length = 2;
    expect(reachable.update()).to.equal(0.5);
    clock.tick(RETENTION_MILLISECONDS);
    expect(reachable.update()).to.equal(0.5);
    clock.tick(1);
    expect(reachable.update()).to.equal(1);
  });

  // Guards against quotas that are cut for an hour after nodes are removed.
  it('does not count nodes that announced that they leave', () => {
    nodes[2].state = LEAVING;
    nodes[3].state = LEAVING;
    expect(reachable.update()).to.equal(1);
    nodes.length = 2;
    expect(reachable.update()).to.equal(1);
  });

  it('counts a node that vanished after it had joined again', () => {
    nodes[3].state = LEAVING;
    reachable.update();
    nodes.push(createNode('d'));
    reachable.update();
    nodes.length = 3;
    expect(reachable.update()).to.equal(0.75);
  });

  it('counts an address once, whatever processes run there', () => {
    nodes.push(createNode('a'), createNode('b'));
    expect(reachable.update()).to.equal(1);
    nodes.length = 4;
    expect(reachable.update()).to.equal(1);
  });

  it('is that of one of the assumed nodes if no other was known for long', () => {
    nodes.length = 1;
    clock.tick(RETENTION_MILLISECONDS + 1);
    expect(reachable.update()).to.equal(1 / 8);
  });
});
