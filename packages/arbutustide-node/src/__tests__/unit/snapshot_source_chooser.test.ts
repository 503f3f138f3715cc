import type {ClusterNode} from '@arbutustide/membership';

import {NodeState} from '@arbutustide/membership';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  SnapshotReason,
  SnapshotSourceChooser,
} from '../../proxy/snapshot_source_chooser.js';

const GRACE_MILLISECONDS = 500;
const STALE_MILLISECONDS = 4_000;

function createPeer(
  identity: string,
  catalogueRevision: number,
  overrides: Partial<ClusterNode> = {},
): ClusterNode {
  return {
    identity,
    name: identity,
    peerUrl: `http://${identity}`,
    region: 'region',
    failureDomain: 'far',
    state: NodeState.READY,
    catalogueRevision,
    plannerEpoch: 0,
    protocolLevel: 1,
    ...overrides,
  };
}

// Guards against a node that waits for the store although peers know more, and
// against snapshots that are fetched although the store delivers in time.
describe('SnapshotSourceChooser', () => {
  let clock: ReturnType<typeof install>;
  let chooser: SnapshotSourceChooser;
  const fresh = {configurationVersion: 4, upstreamsAgeMilliseconds: 0};

  beforeEach(() => {
    clock = install();
    chooser = new SnapshotSourceChooser({
      configurationGraceMilliseconds: GRACE_MILLISECONDS,
      upstreamsStaleMilliseconds: STALE_MILLISECONDS,
      ownFailureDomain: 'near',
      random: () => 0,
    });
  });

  afterEach(() => clock.uninstall());

  it('asks a peer once its newer configuration is overdue', () => {
    const peers = [createPeer('same', 4), createPeer('newer', 7)];
    expect(chooser.choose(fresh, peers)).to.equal(undefined);
    clock.tick(GRACE_MILLISECONDS - 1);
    expect(chooser.choose(fresh, peers)).to.equal(undefined);
    clock.tick(1);
    expect(chooser.choose(fresh, peers)).to.deep.include({
      peer: peers[1],
      reason: SnapshotReason.CONFIGURATION_BEHIND,
    });
  });

  it('asks none while the store delivers each version in a storm in time', () => {
    for (let version = 4; version < 20; version += 1) {
      const own = {...fresh, configurationVersion: version};
      const peers = [createPeer('newer', version + 1)];
      expect(chooser.choose(own, peers)).to.equal(undefined);
      clock.tick(GRACE_MILLISECONDS - 100);
    }
  });

  it('asks a peer although newer versions keep being announced', () => {
    chooser.choose(fresh, [createPeer('newer', 5)]);
    clock.tick(GRACE_MILLISECONDS / 2);
    chooser.choose(fresh, [createPeer('newer', 6)]);
    clock.tick(GRACE_MILLISECONDS / 2);
    const source = chooser.choose(fresh, [createPeer('newer', 7)]);
    expect(source?.peer.identity).to.equal('newer');
  });

  it('asks for upstreams once the own list is stale', () => {
    const peers = [
      createPeer('starting', 0, {state: NodeState.STARTING}),
      createPeer('far', 4),
      createPeer('near', 4, {failureDomain: 'near'}),
    ];
    const almost = {
      ...fresh,
      upstreamsAgeMilliseconds: STALE_MILLISECONDS - 1,
    };
    expect(chooser.choose(almost, peers)).to.equal(undefined);
    const stale = {...fresh, upstreamsAgeMilliseconds: STALE_MILLISECONDS};
    expect(chooser.choose(stale, peers)).to.deep.include({
      peer: peers[2],
      reason: SnapshotReason.UPSTREAMS_STALE,
    });
  });
});
