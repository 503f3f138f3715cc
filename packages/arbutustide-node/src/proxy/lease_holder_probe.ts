import type {MemberTable, PeerTransport} from '@arbutustide/membership';

import {delay} from '@arbutustide/errors';
import {ExchangeRequestSchema, formatSequences} from '@arbutustide/membership';
import {create} from '@bufbuild/protobuf';

import {peerUrlFromIdentity} from './peer_identity.js';

/**
 * A process whose record has grown within this time counts as alive. Covers two
 * heartbeats and the delay of one message.
 */
const RECENTLY_HEARD_MILLISECONDS = 1_600;
/**
 * Time limit of a probe. Covers a round trip across failure domains, which an
 * answer or a refused connection takes.
 */
const PROBE_TIMEOUT_MILLISECONDS = 250;

/**
 * Determines whether the process that holds the planner's lease has ended, so
 * that its lease can be taken over before it expires.
 */
export class LeaseHolderProbe {
  constructor(
    private readonly memberTable: MemberTable,
    private readonly transport: PeerTransport,
  ) {}

  /** Whether the process's record has grown lately, received from any peer. */
  wasHeardRecently(identity: string): boolean {
    const record = this.memberTable.findRecord(identity);
    const heardAt = record?.updatedAtMilliseconds ?? -Infinity;
    return performance.now() - heardAt < RECENTLY_HEARD_MILLISECONDS;
  }

  /**
   * Whether the process has certainly ended: its address refuses connections,
   * or a process with another identity answers there. A timeout proves nothing,
   * since the process may be frozen or unreachable.
   */
  async hasEnded(identity: string): Promise<boolean> {
    if (this.wasHeardRecently(identity)) return false;
    const peerUrl = peerUrlFromIdentity(identity);
    if (peerUrl === undefined) return false;
    const request = create(ExchangeRequestSchema, {
      sender: this.memberTable.ownRecord.identity,
      vector: formatSequences(this.memberTable.sequences()),
    });
    const response = await Promise.race([
      this.transport.exchange(peerUrl, request),
      delay(PROBE_TIMEOUT_MILLISECONDS),
    ]);
    // The delay won: there is no answer in time. The call is left to finish.
    if (typeof response === 'boolean') return false;
    return response.ok
      ? response.val.sender !== identity
      : response.val.isRefused;
  }
}
