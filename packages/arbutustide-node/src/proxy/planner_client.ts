import type {
  ClusterView,
  HoldingRequest,
  PeerTransport,
  PromisedHoldings,
} from '@arbutustide/membership';
import type {EnginePlanner} from '@arbutustide/placement';
import type {Result} from 'ts-results';

import type {HoldingServer} from './holdings/holding_server.js';

import {PeerError, ProtocolLevel} from '@arbutustide/membership';
import {Err, Ok} from 'ts-results';

type HoldingsResult = Result<PromisedHoldings, PeerError>;

/** The planner of this node, and the calls that it serves. */
export interface LocalPlanner {
  readonly planner: Pick<EnginePlanner, 'checkCanSendOrders'>;
  readonly server: Pick<HoldingServer, 'answer'>;
}

/** Calls the active planner, on this node or on a peer. */
export class PlannerClient {
  constructor(
    private readonly clusterView: Pick<ClusterView, 'findPlanner'>,
    private readonly transport: Pick<
      PeerTransport,
      'requestHolding' | 'requestHoldings'
    >,
    private readonly getLocalPlanner: () => LocalPlanner,
  ) {}

  /**
   * Asks the planner to have upstreams hold models and adapters. An answer is
   * undefined if the planner declines; the result is an error if none can be
   * reached.
   */
  async requestHoldings(
    requests: readonly HoldingRequest[],
  ): Promise<HoldingsResult> {
    const {planner, server} = this.getLocalPlanner();
    if (planner.checkCanSendOrders()) return Ok(await server.answer(requests));
    const plannerNode = this.clusterView.findPlanner();
    if (!plannerNode)
      return Err(
        new PeerError('', 'no planner is known; no holding is requested'),
      );
    const {peerUrl, protocolLevel} = plannerNode;
    if (protocolLevel >= ProtocolLevel.PLANNED_LOADS)
      return this.transport.requestHoldings(peerUrl, requests);
    return this.requestEach(peerUrl, requests);
  }

  /** Calls a planner of a build that takes one request in a call. */
  private async requestEach(
    peerUrl: string,
    requests: readonly HoldingRequest[],
  ): Promise<HoldingsResult> {
    const results = await Promise.all(
      requests.map(request => this.transport.requestHolding(peerUrl, request)),
    );
    const answers = [];
    for (const result of results) {
      if (result.err) return result;
      answers.push(result.val);
    }
    return Ok(answers);
  }
}
