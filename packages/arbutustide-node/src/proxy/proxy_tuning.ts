import type {EnginePlannerSettings} from '@arbutustide/placement';

/**
 * Price of the bytes that cross failure domains, as the share of a request's time
 * by which it may be served later to save them. With the extra path of 3 to 11 ms
 * this prefers an upstream of the own domain until it is busier by 0.15 (engines)
 * to 0.3 (plain services) of its slots; it was 0.2 for both.
 */
export const CROSS_DOMAIN_PRICE_SHARE = 0.15;
/**
 * Requests in flight at which an engine counts as full, as a share of its
 * slots. More would queue inside the engine, where they cannot be refused.
 */
export const ENGINE_IN_FLIGHT_SLOT_SHARE = 1;
/**
 * Requests in flight at which an upstream of a plain service counts as full, as
 * a share of its slots. Its requests are short, so a short queue there costs
 * little.
 */
export const SERVICE_IN_FLIGHT_SLOT_SHARE = 3;
/**
 * Factor on the requests in flight at which an upstream counts as full for an
 * urgent request, which it serves before those that wait there.
 */
export const URGENT_SLOT_FACTOR = 1.5;
/** Lower bound on the time to answer a request once it has a slot. */
export const MINIMUM_SERVICE_MILLISECONDS = 20;
/** Service time assumed before any request was measured. */
export const INITIAL_SERVICE_MILLISECONDS = 500;
/** Time of a request at an engine, against which an extra path is weighed. */
export const ENGINE_REQUEST_MILLISECONDS = 500;
/** Interval at which queued requests are reconsidered without an event. */
export const QUEUE_CHECK_INTERVAL_MILLISECONDS = 100;

/** Time for an answer to reach its caller before a node that stops ends. */
export const ANSWER_MARGIN_MILLISECONDS = 150;

/** Interval of exchanges with one peer; each costs traffic and time. */
export const GOSSIP_INTERVAL_MILLISECONDS = 700;
export const GOSSIP_HEARTBEAT_MILLISECONDS = 700;
/** A peer whose sequence has not increased for this long is dropped. */
export const GOSSIP_EXPIRY_MILLISECONDS = 3_500;
/**
 * Peers that a node exchanges records with directly. The others receive its
 * record through them.
 */
export const GOSSIP_MAXIMUM_PEERS = 2;
/**
 * Peers that the planner calls directly when holdings change. Covers all nodes
 * of the present deployments.
 */
export const HOLDINGS_BROADCAST_PEERS = 8;
/**
 * Changes must be in effect within at least this time for watches through a
 * relay: a relay that freezes delays them by RELAY_WAIT_SHARE of it.
 */
export const MINIMUM_BOUND_TO_RELAY_MILLISECONDS = 3_000;
/** Time that a relay holds a watch open, as a share of the bound on changes. */
export const RELAY_WAIT_SHARE = 0.4;
/**
 * Time for which a node that starts waits for a relay before it watches the
 * store itself. A node that started less than 4 s ago owes no bound on changes,
 * and gossip names its peers within 2 s; meanwhile each would call the store for
 * each change that the upstreams make as they start.
 */
export const RELAY_START_GRACE_MILLISECONDS = 2_000;
/** Age of a relay's knowledge up to which it is used, as the same share. */
export const RELAY_MAXIMUM_AGE_SHARE = 0.75;
/**
 * Time for the store to deliver a configuration that a peer has announced, as a
 * share of the bound on changes; then it is fetched from a peer. Gossip and the
 * call need the rest.
 */
export const CONFIGURATION_GRACE_SHARE = 0.25;
/**
 * Age of the list of upstreams from which peers are asked for theirs, as a share
 * of the bound on changes. A watch without changes takes up to one bound.
 */
export const UPSTREAMS_STALE_SHARE = 2;
/** How long removals of fields are gossiped, in expiry times. */
export const TOMBSTONE_RETENTION_EXPIRIES = 2;
/** Interval at which the own record is published and peers' are applied. */
export const RECORD_SYNC_INTERVAL_MILLISECONDS = 250;

/**
 * Nodes that try to acquire the lease although a planner is alive, so that they
 * replace it soon after it fails.
 */
export const LEASE_STANDBY_NODES = 2;
/**
 * Nodes assumed to share a retry budget until more are known; the number of
 * entry hosts in the present deployments.
 */
export const INITIAL_NODE_COUNT = 8;
/** Interval of lease renewals, as a share of the lease duration. */
export const LEASE_RENEWAL_SHARE = 1 / 3;
/**
 * Callers may resume a stream for at least this time after it has begun,
 * whatever the timeouts of the routes.
 */
export const MINIMUM_STREAM_LIFETIME_MILLISECONDS = 30_000;
/** How long a request is remembered after its connection broke. */
export const SUSPICION_RETENTION_MILLISECONDS = 30_000;
/** Peers that are told of a crash at once; the others learn it by gossip. */
export const CRASH_BROADCAST_PEERS = 8;
/** For the other requests lost in the same crash to be noticed. */
export const CRASH_NOTICE_DELAY_MILLISECONDS = 50;
/** Broken connections after which a request is no longer forwarded. */
export const POISON_CRASH_THRESHOLD = 3;

/** Planner settings that are the same in all deployments. */
export const PLANNER_TUNING: Omit<
  EnginePlannerSettings,
  'holder' | 'suspensionMilliseconds'
> = {
  // An order takes 20 ms. A request that needs one waits half an interval on
  // average until the next pass.
  planningIntervalMilliseconds: 150,
  // Each report has a cost, and holdings change only through the planner's own
  // orders, which it knows.
  maximumReportAgeMilliseconds: 1_000,
  // Reports lag by 200 ms, so more frequent polling yields nothing new.
  maximumBusyReportAgeMilliseconds: 250,
  // An order that the engine takes for outdated is followed by a report. A refused
  // report shows that an engine has ended, before the platform's list does.
  maximumSettledReportAgeMilliseconds: 2_000,
  // Nodes are called directly when models change. Where that call fails, gossip
  // delivers the record within two exchanges.
  evictionNoticeMilliseconds: 500,
  // An adapter loads in 5 to 10 ms while few loads are in flight.
  adapterLoadMilliseconds: 12,
  // Longer than the record sync interval, so that use of an adapter has been
  // reported before it is evicted.
  minimumAdapterIdleMilliseconds: 300,
  // Demand shifts between models within 4 to 6 s.
  shortWindowMilliseconds: 1_000,
  longWindowMilliseconds: 4_000,
  // A quarter of the engines that hold a model at first may be needed for other
  // models.
  initialDemandShare: 0.75,
  // The weight store tolerates three loads beyond its rate; one of them is
  // reserved for orders that arrive late.
  storeLoadBurst: 2,
  // Passes of a planner that is behind come up to half a second apart.
  storeLoadBurstSeconds: 0.5,
  // At a higher concurrency, first events were late on the days with the most
  // load.
  replicaTargetUtilization: 0.25,
  // Below the demand for a single requested model on a day with low load.
  spareReplicaDemand: 3,
  // Measured demand is accurate to some tens of per cent.
  hysteresisFactor: 1.5,
  // While a model loads, its engine takes no other order for seconds.
  moveCost: 0.3,
  // When all engines are loading, a requested model waits for the first of
  // them. The requests of that time amount to about a fifth of the slots.
  busyMoveCostShare: 0.2,
  // A model that the plan can place is loaded by then.
  turnWaitMilliseconds: 12_000,
  // One engine at most loads a model on a turn.
  turnSpacingMilliseconds: 4_000,
  // The callers of a rare model come back seconds after a refusal.
  turnTenureMilliseconds: 6_000,
};
