import type {ClusterNode, PeerTransport} from '@arbutustide/membership';
import type {AnswerPeriod} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';

import type {ServiceRetryBudgets} from './service_retry_budgets.js';

import {
  LendRetriesRequestSchema,
  NodeState,
  ProtocolLevel,
} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

/** Retries that one peer is asked for. */
const WANTED_RETRIES = 4;
/** Least time between two calls to one peer. */
const CALL_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of a retry borrower. */
export interface RetryBorrowerOptions {
  /** Identity of this node's process. */
  readonly identity: string;
  readonly nodes: () => readonly ClusterNode[];
  readonly budgets: ServiceRetryBudgets;
  readonly transport: Pick<PeerTransport, 'lendRetries'>;
  readonly answerPeriod: AnswerPeriod;
  readonly random: () => number;
  readonly logger: NodeLogger;
}

/**
 * Borrows retries from peers for a node that stops. It may have to hand most of
 * its streams over within seconds, while the peers consume few of theirs.
 */
export class RetryBorrower {
  private readonly servicesInCall = new Set<string>();
  private readonly calledAtMilliseconds = new Map<string, number>();

  constructor(private readonly options: RetryBorrowerOptions) {}

  /** Asks a peer for retries, if this node stops and asks none for them yet. */
  request(service: string): void {
    const isStopping = this.options.answerPeriod.endsAtMilliseconds < Infinity;
    if (!isStopping || this.servicesInCall.has(service)) return;
    const lender = this.chooseLender(service);
    if (!lender) return;
    this.servicesInCall.add(service);
    const key = callKey(service, lender);
    this.calledAtMilliseconds.set(key, performance.now());
    void this.borrow(service, lender);
  }

  private chooseLender(service: string): ClusterNode | undefined {
    const {identity, nodes, random} = this.options;
    const callableSince = performance.now() - CALL_INTERVAL_MILLISECONDS;
    const lenders = nodes().filter(node => {
      const key = callKey(service, node);
      const calledAt = this.calledAtMilliseconds.get(key) ?? -Infinity;
      return (
        node.identity !== identity &&
        node.state === NodeState.READY &&
        node.protocolLevel >= ProtocolLevel.RETRY_LOANS &&
        calledAt <= callableSince
      );
    });
    return lenders[Math.floor(random() * lenders.length)];
  }

  private async borrow(
    service: string,
    {name, peerUrl}: ClusterNode,
  ): Promise<void> {
    const {budgets, transport, logger} = this.options;
    const request = create(LendRetriesRequestSchema, {
      service,
      wanted: WANTED_RETRIES,
    });
    const response = await transport.lendRetries(peerUrl, request);
    this.servicesInCall.delete(service);
    if (!response.ok) {
      logger.warn({peer: name, err: response.val}, 'no retries borrowed');
      return;
    }
    const lent = Math.min(response.val.lent, WANTED_RETRIES);
    budgets.forService(service).borrow(lent);
    logger.info({peer: name, service, lent}, 'retries borrowed');
  }
}

function callKey(service: string, {identity}: ClusterNode): string {
  return `${service} ${identity}`;
}
