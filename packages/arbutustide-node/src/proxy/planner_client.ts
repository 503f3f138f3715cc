import type {
  ClusterView,
  PeerTransport,
  PromisedHolding,
} from '@arbutustide/membership';
import type {EnginePlanner} from '@arbutustide/placement';
import type {ModelReference} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import {HoldingRequestSchema, PeerError} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

type HoldingResult = Result<PromisedHolding | undefined, PeerError>;

/** Calls the active planner, on this node or on a peer. */
export class PlannerClient {
  constructor(
    private readonly clusterView: ClusterView,
    private readonly transport: PeerTransport,
    private readonly getLocalPlanner: () => EnginePlanner,
  ) {}

  /**
   * Asks the planner to have an upstream hold a model or adapter. The result is
   * undefined if the planner declines, and an error if none can be reached.
   */
  async requestHolding(
    service: string,
    {model, adapter}: ModelReference,
  ): Promise<HoldingResult> {
    const localPlanner = this.getLocalPlanner();
    if (localPlanner.checkCanSendOrders())
      return Ok(await localPlanner.requestHolding(service, model, adapter));
    const plannerNode = this.clusterView.findPlanner();
    if (!plannerNode)
      return Err(
        new PeerError('', 'no planner is known; the holding is not requested'),
      );
    return this.transport.requestHolding(
      plannerNode.peerUrl,
      create(HoldingRequestSchema, {service, model, adapter: adapter ?? ''}),
    );
  }
}
