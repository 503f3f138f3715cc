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
   *
   * @param softwareVersion version that the upstream must have; undefined if
   *     any will do.
   */
  async requestHolding(
    service: string,
    reference: ModelReference,
    softwareVersion: string | undefined,
  ): Promise<HoldingResult> {
    const localPlanner = this.getLocalPlanner();
    if (localPlanner.checkCanSendOrders())
      return Ok(
        await localPlanner.requestHolding(service, reference, softwareVersion),
      );
    const plannerNode = this.clusterView.findPlanner();
    if (!plannerNode)
      return Err(
        new PeerError('', 'no planner is known; the holding is not requested'),
      );
    return this.transport.requestHolding(
      plannerNode.peerUrl,
      create(HoldingRequestSchema, {
        service,
        model: reference.model,
        adapter: reference.adapter ?? '',
        softwareVersion: softwareVersion ?? '',
      }),
    );
  }
}
