/** Guards nodes beside a planner of the last landing, which knows no batches. */
import type {HoldingRequest} from '@arbutustide/membership';

import {
  HoldingRequestSchema,
  NodeState,
  PeerError,
  ProtocolLevel,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';
import {Err, Ok} from 'ts-results';

import {PlannerClient} from '../../proxy/planner_client.js';

const REQUESTS = ['a', 'b'].map(adapter =>
  create(HoldingRequestSchema, {service: 'engines', model: 'm', adapter}),
);

function createClient(protocolLevel: number, isReachable = true) {
  const calls: string[] = [];
  const answer = ({adapter}: HoldingRequest) =>
    adapter === 'a' ? {upstreamId: 'one', readyInMilliseconds: 12} : undefined;
  const client = new PlannerClient(
    {
      findPlanner: () => ({
        identity: 'planner',
        name: 'planner',
        peerUrl: 'http://planner',
        region: '',
        failureDomain: '',
        state: NodeState.READY,
        catalogueRevision: 0,
        plannerEpoch: 1,
        protocolLevel,
      }),
    },
    {
      requestHolding: async (url, request) => {
        calls.push(request.adapter);
        return isReachable ? Ok(answer(request)) : Err(new PeerError(url, ''));
      },
      requestHoldings: async (_url, requests) => {
        calls.push(requests.map(({adapter}) => adapter).join());
        return Ok(requests.map(answer));
      },
    },
    () => ({
      planner: {checkCanSendOrders: () => false},
      server: {answer: async () => []},
    }),
  );
  return {client, calls};
}

describe('PlannerClient', () => {
  for (const [title, level, expectedCalls] of [
    ['in one call', ProtocolLevel.PLANNED_LOADS, ['a,b']],
    ['one by one of a planner of an older build', 0, ['a', 'b']],
  ] as const) {
    it(`asks for several adapters ${title}`, async () => {
      const {client, calls} = createClient(level);
      const result = await client.requestHoldings(REQUESTS);
      expect(calls).to.eql(expectedCalls);
      const answers = result.unwrap();
      expect(answers.map(holding => holding?.upstreamId)).to.eql([
        'one',
        undefined,
      ]);
    });
  }

  it('reports that a planner of an older build did not answer', async () => {
    const {client} = createClient(ProtocolLevel.RETRY_LOANS, false);
    expect((await client.requestHoldings(REQUESTS)).ok).to.equal(false);
  });
});
