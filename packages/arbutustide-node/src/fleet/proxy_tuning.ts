import type {FleetPlannerSettings} from '@arbutustide/placement';

/**
 * Share of the slots by which an upstream of the own failure domain may be
 * busier before another is preferred. Weighs the delay and the price of the
 * bytes of a way to another domain against queueing.
 */
export const CROSS_DOMAIN_SLOT_SHARE = 0.2;
/** An engine is given work for its slots; more would wait where it cannot be refused. */
export const ENGINE_IN_FLIGHT_SLOT_SHARE = 1;
/** A plain service's work is short, so that a short queue there costs little. */
export const SERVICE_IN_FLIGHT_SLOT_SHARE = 3;
/** Least time an answer takes once a request has a place. */
export const MINIMUM_SERVICE_MILLISECONDS = 20;
/** Time one request takes before any was measured. */
export const INITIAL_SERVICE_MILLISECONDS = 500;
/** Time between two looks at waiting requests that nothing else woke. */
export const QUEUE_CHECK_INTERVAL_MILLISECONDS = 100;

/** Part of the time to stop after which nothing waits; the rest is to run. */
export const QUEUE_CLOSE_SHUTDOWN_SHARE = 0.5;

/** Time between two exchanges with one peer; each costs bytes and time. */
export const GOSSIP_INTERVAL_MILLISECONDS = 700;
export const GOSSIP_HEARTBEAT_MILLISECONDS = 700;
/** A node not heard of for this long is taken for gone. */
export const GOSSIP_EXPIRY_MILLISECONDS = 3_500;
/** Peers a node exchanges with; the rest hears through them. */
export const GOSSIP_MAXIMUM_PEERS = 2;
/** Peers the planner calls when models move; covers the fleets of today. */
export const HOLDINGS_BROADCAST_PEERS = 8;
/** Removals are passed on for this many expiry times. */
export const TOMBSTONE_RETENTION_EXPIRIES = 2;
/** How often the own record is written and the others' are applied. */
export const RECORD_SYNC_INTERVAL_MILLISECONDS = 250;

/** Nodes that read the lease though a planner is heard of, to replace it soon. */
export const LEASE_STANDBY_NODES = 2;
/** Entry hosts of the deployments of today, for a node that hears of no other. */
export const INITIAL_NODE_COUNT = 8;
/** Part of a lease after which its holder renews it. */
export const LEASE_RENEWAL_SHARE = 1 / 3;
/** How long a request is remembered whose connection broke. */
export const SUSPICION_RETENTION_MILLISECONDS = 30_000;
/** Broken connections after which a request is no longer sent. */
export const POISON_CRASH_THRESHOLD = 3;

/** How the planner works; what differs between deployments is left out. */
export const PLANNER_TUNING: Omit<
  FleetPlannerSettings,
  'holder' | 'suspensionMilliseconds'
> = {
  // An order takes 20 ms; a request that waits for one waits half of this.
  intervalMilliseconds: 150,
  // Reports are priced; holdings change by our own orders, which are known.
  reportAgeMilliseconds: 1_000,
  // Reports lag by 200 ms, so that asking more often shows nothing new.
  busyReportAgeMilliseconds: 250,
  // A change of models is told to all nodes at once; records go between them
  // within two exchanges where that call fails.
  closeMilliseconds: 500,
  // Adapters take 5 to 10 ms where few are on their way.
  adapterLoadMilliseconds: 12,
  // Longer than the time between two records, so that use has been heard of.
  adapterIdleMilliseconds: 300,
  // Demand moves to other models within 4 to 6 s.
  shortWindowMilliseconds: 1_000,
  longWindowMilliseconds: 4_000,
  // A quarter of the engines that hold a model at first may be needed elsewhere.
  assumedShare: 0.75,
  // The weight store bears three beyond its rate; one is left for late orders.
  storeLoadBurst: 2,
  // Requests at once beyond which first events came late on the heaviest days.
  replicaShare: 0.25,
  // Less than the demand for one of the models in demand on a calm day.
  spareDemand: 3,
  // Demand is measured within some tens of per cent.
  hysteresis: 1.5,
  // A move costs the engine seconds without another order.
  moveCost: 0.3,
  // Where all engines are loading, a model in demand waits for the first of
  // them; its requests in that time are about a fifth of the slots.
  busyCostShare: 0.2,
};
