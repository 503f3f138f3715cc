/** Gossip membership: node records, their exchange, and views of them. */
export type {ClusterNode, DemandSummary} from './cluster_view.js';
export type {
  ConfirmConfigurationRequest,
  ConfirmConfigurationResponse,
  ExchangeRequest,
  ExchangeResponse,
  FindStreamOriginRequest,
  FindStreamOriginResponse,
  HoldingRequest,
  LeaseQuotaRequest,
  LeaseQuotaResponse,
  LendRetriesRequest,
  LendRetriesResponse,
  NodeStatus,
  LostUpstreams,
  QuotaClaim,
  QuotaGrant,
  RecordStreamOriginsRequest,
  RelayRequestRequest,
  RelayRequestResponse,
  RequestTokenRequest,
  RequestTokenResponse,
  SegmentQuarantine,
  UpstreamHoldings,
  UpstreamObservation,
  WatchRequest,
  WatchResponse,
} from './gen/arbutustide/membership/v1/membership_pb.js';
export type {GossipOptions, PeerAddress} from './gossip.js';
export type {MemberRecord} from './member_record.js';
export type {FieldValue} from './own_record.js';
export type {PublishedDemand, PublishedLoad} from './node_activity.js';
export type {ExpectedLoads} from './planned_loads.js';
export type {PeerObservation, PeerRateLimit} from './peer_observation.js';
export type {
  ConfirmConfigurationResponseFields,
  LeaseQuotaResponseFields,
  PeerHandler,
  PeerTransport,
  FindStreamOriginResponseFields,
  PromisedHolding,
  PromisedHoldings,
  RelayResponsePart,
  RequestTokenResponseFields,
  WatchResponseFields,
} from './peer_transport.js';

export {ClusterView} from './cluster_view.js';
export {formatDemands, formatLoads} from './node_activity.js';
export {
  formatPlannedLoads,
  PLANNED_LOADS_KEY,
  readPlannedLoads,
} from './planned_loads.js';
export {ProtocolLevel} from './protocol_level.js';
export {ConnectPeerServer} from './connect_peer_server.js';
export {ConnectPeerTransport} from './connect_peer_transport.js';
export {
  BrittleServiceSchema,
  ConfirmConfigurationRequestSchema,
  ConfirmConfigurationResponseSchema,
  EntryDemandSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FindStreamOriginRequestSchema,
  FindStreamOriginResponseSchema,
  HoldingRequestSchema,
  LeaseQuotaRequestSchema,
  LeaseQuotaResponseSchema,
  LendRetriesRequestSchema,
  LendRetriesResponseSchema,
  LostRequestsSchema,
  LostUpstreamsSchema,
  NodeState,
  NodeActivitySchema,
  NodeStatusSchema,
  PlannedLoadsSchema,
  RecordStreamOriginsRequestSchema,
  RelayRequestRequestSchema,
  RelayRequestResponseSchema,
  RequestTokenRequestSchema,
  RequestTokenResponseSchema,
  RequestHoldingsRequestSchema,
  SegmentQuarantineSchema,
  SegmentSurvivalsSchema,
  SuspicionSchema,
  UpstreamCrashSchema,
  UpstreamDepartureSchema,
  UpstreamHoldingsSchema,
  UpstreamLoadSchema,
  UpstreamObservationSchema,
  UpstreamRateLimitSchema,
  WatchRequestSchema,
  WatchResponseSchema,
} from './gen/arbutustide/membership/v1/membership_pb.js';
export {
  formatSequences,
  readExchange,
  writeExchange,
} from './exchange_messages.js';
export {Gossip} from './gossip.js';
export {findNodeStatus, NODE_STATUS_KEY} from './member_record.js';
export {MemberTable} from './member_table.js';
export {OwnRecord} from './own_record.js';
export {PeerError} from './peer_transport.js';
export {selectByRendezvousHash} from './rendezvous_hash.js';
