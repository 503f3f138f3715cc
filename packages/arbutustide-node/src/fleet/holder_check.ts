import type {MemberTable, PeerTransport} from '@arbutustide/membership';

import {delay} from '@arbutustide/errors';
import {ExchangeRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {peerUrlOfIdentity} from './fleet_identity.js';

/** A holder heard of within this time is alive; two heartbeats and a way. */
const HEARD_MILLISECONDS = 1_600;
/** A refusal or an answer comes within two ways across failure domains. */
const PROBE_MILLISECONDS = 250;

/** Finds out whether the process that holds the planner's lease has ended. */
export class HolderCheck {
  constructor(
    private readonly table: MemberTable,
    private readonly transport: PeerTransport,
  ) {}

  /** Whether the process was heard of lately, over any path. */
  isHeard(identity: string): boolean {
    const record = this.table.record(identity);
    const heardAt = record?.heardAtMilliseconds ?? -Infinity;
    return performance.now() - heardAt < HEARD_MILLISECONDS;
  }

  /**
   * Whether the process has certainly ended: nothing listens at its address,
   * or another process answers there. Silence proves nothing.
   */
  async hasEnded(identity: string): Promise<boolean> {
    if (this.isHeard(identity)) return false;
    const peerUrl = peerUrlOfIdentity(identity);
    if (peerUrl === undefined) return false;
    const request = create(ExchangeRequestSchema, {
      sender: this.table.own.identity,
      vector: this.table.vector(),
    });
    const answer = await Promise.race([
      this.transport.exchange(peerUrl, request),
      delay(PROBE_MILLISECONDS),
    ]);
    // No answer in time; the call itself goes on and is not waited for.
    if (typeof answer === 'boolean') return false;
    return answer.ok ? answer.val.sender !== identity : answer.val.isRefused;
  }
}
