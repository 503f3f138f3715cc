import type {MemberTable, PeerTransport} from '@arbutustide/membership';

import {ExchangeRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {peerUrlOfIdentity} from './fleet_identity.js';

/** A holder heard of within this time is alive; two heartbeats and a way. */
const HEARD_MILLISECONDS = 1_600;

/** Finds out whether the process that holds the planner's lease has ended. */
export class HolderCheck {
  constructor(
    private readonly table: MemberTable,
    private readonly transport: PeerTransport,
  ) {}

  /**
   * Whether the process has certainly ended: nothing listens at its address,
   * or another process answers there. Silence proves nothing.
   */
  async hasEnded(identity: string): Promise<boolean> {
    const record = this.table.record(identity);
    const heardAt = record?.heardAtMilliseconds ?? -Infinity;
    if (performance.now() - heardAt < HEARD_MILLISECONDS) return false;
    const peerUrl = peerUrlOfIdentity(identity);
    if (peerUrl === undefined) return false;
    const answer = await this.transport.exchange(
      peerUrl,
      create(ExchangeRequestSchema, {
        sender: this.table.own.identity,
        vector: this.table.vector(),
      }),
    );
    return answer.ok ? answer.val.sender !== identity : answer.val.isRefused;
  }
}
