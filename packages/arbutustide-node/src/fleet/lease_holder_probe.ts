import type {MemberTable, PeerTransport} from '@arbutustide/membership';

import {delay} from '@arbutustide/errors';
import {ExchangeRequestSchema} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {peerUrlFromIdentity} from './peer_identity.js';

/** A holder heard of within this time is alive; two heartbeats and a way. */
const RECENTLY_HEARD_MILLISECONDS = 1_600;
/** A refusal or an answer comes within two ways across failure domains. */
const PROBE_TIMEOUT_MILLISECONDS = 250;

/** Finds out whether the process that holds the planner's lease has ended. */
export class LeaseHolderProbe {
  constructor(
    private readonly memberTable: MemberTable,
    private readonly transport: PeerTransport,
  ) {}

  /** Whether the process was heard of lately, over any path. */
  wasHeardRecently(identity: string): boolean {
    const record = this.memberTable.record(identity);
    const heardAt = record?.heardAtMilliseconds ?? -Infinity;
    return performance.now() - heardAt < RECENTLY_HEARD_MILLISECONDS;
  }

  /**
   * Whether the process has certainly ended: nothing listens at its address,
   * or another process answers there. Silence proves nothing.
   */
  async hasEnded(identity: string): Promise<boolean> {
    if (this.wasHeardRecently(identity)) return false;
    const peerUrl = peerUrlFromIdentity(identity);
    if (peerUrl === undefined) return false;
    const request = create(ExchangeRequestSchema, {
      sender: this.memberTable.own.identity,
      vector: this.memberTable.vector(),
    });
    const response = await Promise.race([
      this.transport.exchange(peerUrl, request),
      delay(PROBE_TIMEOUT_MILLISECONDS),
    ]);
    // No answer in time; the call itself goes on and is not waited for.
    if (typeof response === 'boolean') return false;
    return response.ok
      ? response.val.sender !== identity
      : response.val.isRefused;
  }
}
