import type {RelayedProgress, RequestTeam} from '@arbutustide/routing';

import {Cancellation} from '@arbutustide/errors';
import {
  ProtocolLevel,
  RelayRequestRequestSchema,
} from '@arbutustide/membership';
import {ENDLESS_ANSWER_PERIOD, RequestKind} from '@arbutustide/routing';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {expect} from 'chai';

import {
  decodeRelayedRequest,
  encodeRelayRequest,
} from '../../proxy/relay/relay_messages.js';
import {understands} from '../../proxy/relay/understands.js';

const FRESH: RelayedProgress = {
  attempts: 0,
  mayHaveRun: false,
  origin: undefined,
  resumeAfterEventId: undefined,
};
const TEAM: RequestTeam = {
  name: 'team',
  priority: 0,
  keyDigest: Buffer.from([1, 2, 255]),
};

function createRequest(team: RequestTeam | undefined) {
  return {
    requestId: 'request-1',
    team,
    route: {
      name: 'route',
      host: 'host.example',
      pathPrefix: '/',
      kind: RequestKind.IDEMPOTENT,
      targets: [{service: 'service', weight: 1}],
      timeoutMilliseconds: 5_000,
      firstByteTargetMilliseconds: 300,
      callerTimeoutMilliseconds: 2_000,
      priority: 1,
      maximumAttempts: 2,
      isResumable: false,
      isPublic: false,
    },
    service: 'service',
    configurationVersion: 7,
    method: 'GET',
    requestTarget: '/path',
    headers: [],
    body: undefined,
    modelRequest: undefined,
    lastEventId: undefined,
    resumedRequestId: undefined,
    arrivedAtMilliseconds: 0,
    unreadMilliseconds: 0,
    callerSeenAtMilliseconds: 0,
    deadlineAtMilliseconds: 5_000,
    disconnection: new Cancellation(),
  };
}

// Guards against requests that lose their team on the way through a peer, and
// with it their priority and the check of their key.
describe('request of a team that is passed on through a peer', () => {
  for (const priority of [0, 4, undefined]) {
    it(`keeps name, priority ${priority} and the digest of the key`, () => {
      const request = createRequest({...TEAM, priority});
      const bytes = toBinary(
        RelayRequestRequestSchema,
        encodeRelayRequest('sender', request, FRESH, ENDLESS_ANSWER_PERIOD),
      );
      const message = fromBinary(RelayRequestRequestSchema, bytes);
      const {team} = decodeRelayedRequest(message, new Cancellation()) ?? {};
      expect(team).to.deep.include({name: 'team', priority});
      expect([...(team?.keyDigest ?? [])]).to.deep.equal([1, 2, 255]);
    });
  }

  it('is given only to peers that understand teams', () => {
    const older = {protocolLevel: ProtocolLevel.INITIAL};
    expect(understands(older, {team: TEAM})).to.equal(false);
    expect(understands(older, {team: undefined})).to.equal(true);
    for (const protocolLevel of [ProtocolLevel.TEAMS, ProtocolLevel.TEAMS + 1])
      expect(understands({protocolLevel}, {team: TEAM})).to.equal(true);
  });
});
