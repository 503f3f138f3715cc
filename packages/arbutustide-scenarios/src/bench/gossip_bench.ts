import {
  EntryDemandSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  MemberTable,
  NodeState,
  NodeStatusSchema,
  OwnRecord,
  NODE_STATUS_KEY,
  readExchange,
  writeExchange,
  UpstreamLoadSchema,
  UpstreamObservationSchema,
} from '@arbutustide/membership';
import {create, toBinary} from '@bufbuild/protobuf';
import seedrandom from 'seedrandom';

/** Size of a cluster whose gossip is measured. */
export interface GossipBenchOptions {
  readonly nodes: number;
  readonly upstreams: number;
  /** Whether every exchange carries all records instead of only the deltas. */
  readonly isFullPush: boolean;
}

/** Cost of gossip for one node. */
export interface GossipCosts {
  readonly nodes: number;
  readonly mode: string;
  readonly bytesPerSecond: number;
  /** Share of one processor core; counts the work of both ends of exchanges. */
  readonly coreShare: number;
  /** Rounds of exchanges until a change at one node is known to all. */
  readonly roundsUntilKnown: number;
}

const EXPIRY_MILLISECONDS = 10_000;
const PEERS_PER_NODE = 3;
const INTERVAL_SECONDS = 0.75;
const ROUND_COUNT = 3;
/**
 * Nodes that start the measured exchanges. All nodes take part in the initial
 * merge and in the count of rounds.
 */
const MAXIMUM_MEASURED_NODES = 7;
const LOADS_PER_NODE = 8;
const CHANGED_LOADS_PER_ROUND = 2;
const ITEMS_PER_UPSTREAM = 10;
const OBSERVERS_PER_UPSTREAM = 2;
const RANDOM_SEED = 'gossip';

/** Exchanges records between nodes in memory and measures the cost. */
export function measureGossip(options: GossipBenchOptions): GossipCosts {
  const random = seedrandom(RANDOM_SEED);
  const tables = Array.from({length: options.nodes}, (_empty, index) =>
    createMemberTable(index, options, random),
  );
  const peers = tables.map((_table, index) =>
    chooseRandomPeers(index, options.nodes, random),
  );
  const exchangeWithPeers = (nodes: number, isFullPush: boolean) => {
    let bytes = 0;
    for (const [index, table] of tables.slice(0, nodes).entries()) {
      for (const peer of peers[index]) {
        bytes += exchangeRecords(table, tables[peer], isFullPush);
      }
    }
    return bytes;
  };
  shareAllRecords(tables);
  const measuredNodes = Math.min(MAXIMUM_MEASURED_NODES, options.nodes);
  const startedAt = performance.now();
  let bytes = 0;
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    for (const table of tables) changeRandomLoads(table, random);
    bytes += exchangeWithPeers(measuredNodes, options.isFullPush);
  }
  const milliseconds = performance.now() - startedAt;
  const seconds = ROUND_COUNT * INTERVAL_SECONDS;
  return {
    nodes: options.nodes,
    mode: options.isFullPush ? 'full push' : 'deltas',
    bytesPerSecond: Math.round((2 * bytes) / measuredNodes / seconds),
    coreShare: milliseconds / 1_000 / measuredNodes / seconds,
    roundsUntilKnown: countRoundsUntilKnown(peers),
  };
}

function createMemberTable(
  index: number,
  options: GossipBenchOptions,
  random: () => number,
): MemberTable {
  const own = new OwnRecord(`10.0.${index}.1:7000#start${index}`, 0);
  const table = new MemberTable(own, EXPIRY_MILLISECONDS);
  own.set(NODE_STATUS_KEY, {
    case: 'status',
    value: create(NodeStatusSchema, {
      name: `node-${index}`,
      peerUrl: `http://10.0.${index}.1:7000`,
      region: 'island',
      failureDomain: `domain-${index % 6}`,
      state: NodeState.READY,
      catalogueRevision: 1,
    }),
  });
  const observed = Math.ceil(
    (options.upstreams * OBSERVERS_PER_UPSTREAM) / options.nodes,
  );
  for (let position = 0; position < observed; position += 1) {
    const upstreamId = `engine-${(index * observed + position) % options.upstreams}`;
    own.set(`observation/${upstreamId}`, {
      case: 'observation',
      value: create(UpstreamObservationSchema, {
        upstreamId,
        upstreamStart: '6f1c2d3e',
        inFlight: Math.floor(random() * 32),
        residentItems: Array.from(
          {length: ITEMS_PER_UPSTREAM},
          (_empty, item) => `model-${item}@1`,
        ),
        publication: 1,
      }),
    });
  }
  for (let load = 0; load < LOADS_PER_NODE; load += 1) setLoad(table, load, 1);
  return table;
}

function setLoad(table: MemberTable, load: number, inFlight: number): void {
  table.ownRecord.set(`load/engine-${load}`, {
    case: 'load',
    value: create(UpstreamLoadSchema, {
      upstreamId: `engine-${load}`,
      inFlight,
    }),
  });
  table.ownRecord.set(`demand/model-${load}`, {
    case: 'demand',
    value: create(EntryDemandSchema, {entry: `model-${load}`, inFlight}),
  });
}

/** Changes a few random loads of a node, as happens between two exchanges. */
function changeRandomLoads(table: MemberTable, random: () => number): void {
  for (let change = 0; change < CHANGED_LOADS_PER_ROUND; change += 1) {
    const load = Math.floor(random() * LOADS_PER_NODE);
    setLoad(table, load, Math.floor(random() * 32));
  }
  table.ownRecord.recordHeartbeat();
}

function chooseRandomPeers(
  index: number,
  nodes: number,
  random: () => number,
): number[] {
  const chosen = new Set<number>();
  while (chosen.size < Math.min(PEERS_PER_NODE, nodes - 1)) {
    const peer = Math.floor(random() * nodes);
    if (peer !== index) chosen.add(peer);
  }
  return [...chosen];
}

/** Exchanges records in both directions and returns the bytes on the wire. */
function exchangeRecords(
  from: MemberTable,
  to: MemberTable,
  isFullPush: boolean,
): number {
  const nothing = new Map<string, number>();
  const request = create(ExchangeRequestSchema, {
    sender: from.ownRecord.identity,
    ...writeExchange(from, isFullPush ? nothing : to.sequences()),
  });
  readExchange(to, request);
  const response = create(ExchangeResponseSchema, {
    sender: to.ownRecord.identity,
    ...writeExchange(to, isFullPush ? nothing : from.sequences()),
  });
  readExchange(from, response);
  return (
    toBinary(ExchangeRequestSchema, request).length +
    toBinary(ExchangeResponseSchema, response).length
  );
}

/** Counts the rounds until a change at one node is known to all. */
function countRoundsUntilKnown(peers: readonly number[][]): number {
  const informed = new Set([0]);
  let rounds = 0;
  while (informed.size < peers.length) {
    rounds += 1;
    const informedBefore = new Set(informed);
    for (const [index, chosen] of peers.entries()) {
      for (const peer of chosen) {
        if (!informedBefore.has(index) && !informedBefore.has(peer)) continue;
        informed.add(index);
        informed.add(peer);
      }
    }
  }
  return rounds;
}

/** Merges the records of all nodes into every node's table. */
function shareAllRecords(tables: readonly MemberTable[]): void {
  const emptyVector = new Map<string, number>();
  const deltas = tables.flatMap(table => table.deltasSince(emptyVector));
  for (const table of tables) table.merge(deltas);
}
