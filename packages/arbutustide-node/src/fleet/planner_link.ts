import type {
  ClusterView,
  PeerTransport,
  PromisedHolding,
} from '@arbutustide/membership';
import type {FleetPlanner} from '@arbutustide/placement';
import type {ModelName} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import {HoldingRequestSchema, PeerError} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results';

type HoldingResult = Result<PromisedHolding | undefined, PeerError>;

/** Reaches the planner, whether it is this node or another. */
export class PlannerLink {
  constructor(
    private readonly view: ClusterView,
    private readonly transport: PeerTransport,
    private readonly planner: () => FleetPlanner,
  ) {}

  /** Asks for a holding; fails when no planner can be reached. */
  async requestHolding(
    service: string,
    {model, adapter}: ModelName,
  ): Promise<HoldingResult> {
    const own = this.planner();
    if (own.checkMayOrder())
      return Ok(await own.request(service, model, adapter));
    const node = this.view.planner();
    if (!node) return Err(new PeerError('', 'no planner is known'));
    return this.transport.requestHolding(
      node.peerUrl,
      create(HoldingRequestSchema, {service, model, adapter: adapter ?? ''}),
    );
  }
}
