/**
 * Guards against streams of a stopping node that are cut for lack of retries
 * which its peers do not use, and against calls without need or end.
 */
import type {ClusterNode} from '@arbutustide/membership';

import {
  LendRetriesResponseSchema,
  NodeState,
  PeerError,
  ProtocolLevel,
} from '@arbutustide/membership';
import {silentLogger} from '@arbutustide/telemetry';
import {create} from '@bufbuild/protobuf';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {RetryBorrower} from '../../proxy/retries/retry_borrower.js';
import {ServiceRetryBudgets} from '../../proxy/retries/service_retry_budgets.js';

const SERVICE = 'engines';
const REVIEW_MILLISECONDS = 50;
const REVIEWS = 40;

function createNode(
  name: string,
  changes: Partial<ClusterNode> = {},
): ClusterNode {
  return {
    identity: name,
    name,
    peerUrl: `http://${name}`,
    region: 'region',
    failureDomain: 'domain',
    state: NodeState.READY,
    catalogueRevision: 0,
    plannerEpoch: 0,
    protocolLevel: ProtocolLevel.RETRY_LOANS,
    ...changes,
  };
}

describe('retry borrower', () => {
  let clock: ReturnType<typeof install>;
  let nodes: ClusterNode[];
  let calls: string[];
  let answerPeriod: {endsAtMilliseconds: number};
  let lent: number;
  let isReachable: boolean;
  let budgets: ServiceRetryBudgets;
  let borrower: RetryBorrower;

  beforeEach(() => {
    clock = install();
    nodes = [createNode('own'), createNode('peer')];
    calls = [];
    answerPeriod = {endsAtMilliseconds: performance.now() + 7_000};
    lent = 3;
    isReachable = true;
    const settings = {ratio: 0, allowance: 0, windowMilliseconds: 10_000};
    budgets = new ServiceRetryBudgets(settings, () => nodes.length, 1);
    borrower = new RetryBorrower({
      identity: 'own',
      nodes: () => nodes,
      budgets,
      transport: {
        lendRetries: async peerUrl => {
          calls.push(peerUrl);
          return isReachable
            ? Ok(create(LendRetriesResponseSchema, {lent}))
            : Err(new PeerError(peerUrl, 'no answer'));
        },
      },
      answerPeriod,
      random: () => 0,
      logger: silentLogger(),
    });
  });
  afterEach(() => clock.uninstall());

  const countRetries = () => {
    let count = 0;
    while (budgets.forService(SERVICE).tryConsume()) count += 1;
    return count;
  };

  it('gets what a peer gives up', async () => {
    borrower.request(SERVICE);
    await clock.tickAsync(0);
    expect(calls).to.eql(['http://peer']);
    expect(countRetries()).to.equal(3);
  });

  it('takes no more than it has asked for', async () => {
    lent = 1_000;
    borrower.request(SERVICE);
    await clock.tickAsync(0);
    expect(countRetries()).to.equal(4);
  });

  it('asks nobody unless its node stops', async () => {
    answerPeriod.endsAtMilliseconds = Infinity;
    borrower.request(SERVICE);
    await clock.tickAsync(0);
    expect(calls).to.eql([]);
  });

  it('asks no peer that leaves, starts or does not know the call', async () => {
    nodes = [
      createNode('own'),
      createNode('leaving', {state: NodeState.LEAVING}),
      createNode('starting', {state: NodeState.STARTING}),
      createNode('older', {protocolLevel: ProtocolLevel.TEAMS}),
    ];
    borrower.request(SERVICE);
    await clock.tickAsync(0);
    expect(calls).to.eql([]);
  });

  it('asks each peer once a second at most', async () => {
    nodes.push(createNode('other'));
    lent = 0;
    for (let review = 0; review < REVIEWS; review += 1) {
      borrower.request(SERVICE);
      await clock.tickAsync(REVIEW_MILLISECONDS);
    }
    expect(calls).to.have.lengthOf(4);
    expect(new Set(calls).size).to.equal(2);
  });

  it('asks again after a call that failed', async () => {
    isReachable = false;
    borrower.request(SERVICE);
    await clock.tickAsync(1_000);
    isReachable = true;
    borrower.request(SERVICE);
    await clock.tickAsync(0);
    expect(countRetries()).to.equal(3);
  });
});
