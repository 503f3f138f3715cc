import {z} from 'zod';

const port = z.number().int().min(0).max(65_535);
const milliseconds = z.number().int().min(1).max(86_400_000);
const bytes = z.number().int().min(1);
const count = z.number().int().min(1);

const nodeSchema = z.strictObject({
  /** Name shown to operators; unique among the entry hosts. */
  name: z.string().min(1),
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  /** IP address to listen on, which peers also connect to. */
  address: z.union([z.ipv4(), z.ipv6()]),
  callerPort: port,
  peerPort: port,
  /** Serves metrics and routing explanations; for operators only. */
  controlPort: port,
});

const platformSchema = z.strictObject({
  objectStoreUrl: z.url(),
  hostListUrl: z.url(),
  /** Environment variable that contains the bearer token of the object API. */
  tokenVariable: z.string().min(1).optional(),
  callTimeoutMilliseconds: milliseconds.default(2_000),
  watchMilliseconds: milliseconds.default(20_000),
  hostListIntervalMilliseconds: milliseconds.default(2_000),
});

const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

const callersSchema = z.strictObject({
  bodyLimitBytes: bytes.default(8_388_608),
  headerLimitBytes: bytes.default(16_384),
  headerTimeoutMilliseconds: milliseconds.default(10_000),
  bodyTimeoutMilliseconds: milliseconds.default(30_000),
});

const gossipSchema = z.strictObject({
  intervalMilliseconds: milliseconds.default(750),
  heartbeatMilliseconds: milliseconds.default(2_000),
  /** A member's record that did not change for this long is removed. */
  expiryMilliseconds: milliseconds.default(10_000),
  callTimeoutMilliseconds: milliseconds.default(1_500),
  maximumPeers: count.default(3),
  /** Nodes per failure domain that watch the object API for all others. */
  watchersPerFailureDomain: count.default(2),
});

const routingSchema = z.strictObject({
  reportIntervalMilliseconds: milliseconds.default(1_000),
  reportTimeoutMilliseconds: milliseconds.default(1_000),
  /** Nodes that poll the load reports of one upstream for all others. */
  pollersPerUpstream: count.default(2),
  /** Observations of an upstream are published at least this often. */
  observationRefreshMilliseconds: milliseconds.default(5_000),
  /** Replicas that are drawn at random for each choice. */
  sampleSize: count.max(8).default(3),
  /** Predicted extra time for an upstream in another failure domain. */
  crossDomainMilliseconds: z.number().min(0).default(5),
  /** Predicted time that an upstream saves by a cached prompt prefix. */
  prefixMilliseconds: z.number().min(0).default(100),
  /** Assumed service time of a request until one was measured. */
  initialServiceMilliseconds: milliseconds.default(500),
  /** Adapter requests in flight over all nodes; more increase the latency. */
  adapterConcurrency: count.default(64),
  connectionsPerUpstream: count.default(256),
  connectTimeoutMilliseconds: milliseconds.default(1_000),
  /** Requests that an upstream runs concurrently before it queues more. */
  upstreamConcurrency: count.default(32),
  /** Retries that each successful request allows. */
  retryShare: z.number().min(0).max(1).default(0.1),
  retryBackoffMilliseconds: milliseconds.default(50),
  maximumAttempts: count.max(10).default(3),
  quarantineMilliseconds: milliseconds.default(600_000),
});

const plannerSchema = z.strictObject({
  enabled: z.boolean().default(true),
  leaseMilliseconds: milliseconds.default(6_000),
  intervalMilliseconds: milliseconds.default(1_000),
  orderTimeoutMilliseconds: milliseconds.default(120_000),
  /**
   * Upper bound on the time from sending an order to its effect. An order
   * without effect after this time will never have one.
   */
  longestOrderDelayMilliseconds: milliseconds.default(180_000),
});

const placementSchema = z.strictObject({
  /** Concurrent requests that a move must gain beyond those it gives up. */
  moveCost: z.number().min(0).default(1),
  /** A replica is not moved before it has been resident for this long. */
  minimumStayMilliseconds: milliseconds.default(60_000),
  shortWindowMilliseconds: milliseconds.default(10_000),
  longWindowMilliseconds: milliseconds.default(120_000),
  /** Requests in flight that one replica serves within its class's targets. */
  replicaConcurrency: count.default(16),
  weightLoadsPerSecond: z.number().positive().default(2),
  weightLoadsAtOnce: count.default(8),
});

const claimsSchema = z.strictObject({
  retentionMilliseconds: milliseconds.default(86_400_000),
  answerLimitBytes: bytes.default(65_536),
});

const shutdownSchema = z.strictObject({
  /** How long new requests are still accepted after a stop was requested. */
  listenMilliseconds: milliseconds.default(5_000),
  /** How long the requests in flight may take after that. */
  drainMilliseconds: milliseconds.default(60_000),
});

/** The settings of one node; docs/OPERATIONS.md describes each key. */
export const settingsSchema = z.strictObject({
  node: nodeSchema,
  platform: platformSchema,
  log: logSchema.prefault({}),
  callers: callersSchema.prefault({}),
  gossip: gossipSchema.prefault({}),
  routing: routingSchema.prefault({}),
  planner: plannerSchema.prefault({}),
  placement: placementSchema.prefault({}),
  claims: claimsSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
});

/** Validated settings; durations are in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;
