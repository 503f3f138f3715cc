import type {ServiceImpl} from '@connectrpc/connect';

import type {PeerHandler, PromisedHolding} from './peer_transport.js';

import type {MembershipService} from './gen/arbutustide/membership/v1/membership_pb.js';

/** Implementation of MembershipService. */
export type PeerRoutes = ServiceImpl<typeof MembershipService>;

/**
 * Passes the calls of peers on to the handler.
 *
 * @param handler called for each request, because the handler may be created
 *     after the server.
 */
export function createPeerRoutes(handler: () => PeerHandler): PeerRoutes {
  return {
    exchange: request => handler().exchange(request),
    fetchHead: ({maximumAgeMilliseconds}) => ({
      headJson: handler().catalogueHeadJson(maximumAgeMilliseconds),
    }),
    fetchContent: ({digest}) => ({
      contentJson: handler().catalogueContentJson(digest),
    }),
    requestHolding: async request => {
      const holding = await handler().requestHolding(request);
      return toHoldingResponse(holding);
    },
    requestHoldings: async request => {
      const holdings = await handler().requestHoldings(request.holdings);
      return {holdings: holdings.map(toHoldingResponse)};
    },
    watch: async request => {
      const response = await handler().serveWatch(request);
      return response ? {isServed: true, ...response} : {isServed: false};
    },
    recordStreamOrigins: request => {
      handler().recordStreamOrigins(request);
      return {};
    },
    relayRequest: (request, {signal}) =>
      handler().relayRequest(request, signal),
    findStreamOrigin: request => handler().findStreamOrigin(request),
    confirmConfiguration: request => handler().confirmConfiguration(request),
    leaseQuota: request => handler().leaseQuota(request),
    lendRetries: request => ({lent: handler().lendRetries(request)}),
    requestToken: request => {
      const response = handler().issueToken(request);
      return response ? {isIssuer: true, ...response} : {isIssuer: false};
    },
  };
}

function toHoldingResponse(holding: PromisedHolding | undefined) {
  return holding ? {promised: true, ...holding} : {promised: false};
}
