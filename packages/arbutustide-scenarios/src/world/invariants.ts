import type {CallerOutcome} from './simulated_caller.js';
import type {SimulatedWorld} from './simulated_world.js';

import {EntryKind} from '@arbutustide/catalogue';
import {ExecutionStatus} from '@arbutustide/errors';
import {
  committedBytes,
  WORKER_PREFIX,
  workerRecordSchema,
} from '@arbutustide/placement';
import {expectedCompletionText} from '@arbutustide/stand-ins';

import {extractCompletionText} from '../completion_text.js';
import {RequestEnd} from './simulated_caller.js';

/**
 * How long after its announcement a leaving upstream may still receive new
 * requests.
 */
const LEAVING_GRACE_MILLISECONDS = 5_000;

/**
 * Properties that must hold whatever fails. Each is checked against records
 * kept outside the nodes.
 */
export enum Invariant {
  /** No engine holds more items than its memory has room for. */
  MEMORY = 'memory',
  /** No worker record commits more bytes than the worker's memory. */
  LEDGER = 'ledger',
  /** A complete answer is the expected answer to the caller's own request. */
  WHOLE_ANSWER = 'whole_answer',
  /** No upstream ran a request that was refused as not executed. */
  TRUE_REFUSAL = 'true_refusal',
  /** No service ran the same request twice. */
  AT_MOST_ONCE = 'at_most_once',
  /** No upstream receives new requests once it is known to be leaving. */
  LEAVING = 'leaving',
  /** A node that is asked to stop cuts off none of its requests. */
  PLANNED_STOP = 'planned_stop',
  /**
   * Catalogue revisions only grow, all live nodes reach the accepted one, and
   * no accepted edit is lost.
   */
  REVISION = 'revision',
  /** After recovery, every live node serves every entry. */
  REACHABLE = 'reachable',
  /** Every request ends. */
  FINAL_ANSWER = 'final_answer',
  /** Every model and adapter of the catalogue has its minimum replicas. */
  REPLICAS = 'replicas',
}

/** A violated invariant and the records that show the violation. */
export interface Violation {
  readonly invariant: Invariant;
  readonly evidence: string;
}

/** Yields the evidence of each violation. */
type InvariantCheck = (world: SimulatedWorld) => Iterable<string>;

const INVARIANT_CHECKS: Readonly<Record<Invariant, InvariantCheck>> = {
  *[Invariant.MEMORY](world) {
    for (const {id, model} of world.engines.values()) {
      for (const {heldBytes, capacityBytes, orderId} of model.overcommits) {
        yield `${id} held ${heldBytes} of ${capacityBytes} after ${orderId}`;
      }
    }
  },
  *[Invariant.LEDGER](world) {
    for (const {key, version, value} of world.objectTable.writes) {
      if (!key.startsWith(WORKER_PREFIX) || value === undefined) continue;
      const record = workerRecordSchema.parse(value);
      const committed = committedBytes(record);
      if (committed <= record.memoryBytes) continue;
      yield `${key} at ${version} commits ${committed} of ${record.memoryBytes}`;
    }
  },
  *[Invariant.WHOLE_ANSWER](world) {
    for (const outcome of world.outcomes) {
      if (outcome.end !== RequestEnd.ANSWERED) continue;
      if (outcome.status !== 200 || isExpectedAnswer(outcome)) continue;
      yield `${outcome.request.requestId} got ${outcome.body.slice(0, 200)}`;
    }
  },
  *[Invariant.TRUE_REFUSAL](world) {
    const executedIds = findExecutedRequestIds(world);
    for (const {end, refusal, request} of world.outcomes) {
      if (
        end !== RequestEnd.REFUSED ||
        refusal?.ran !== ExecutionStatus.NOT_EXECUTED
      )
        continue;
      if (!executedIds.has(request.requestId)) continue;
      yield `${request.requestId} ran, but was refused as ${refusal.kind}`;
    }
  },
  *[Invariant.AT_MOST_ONCE](world) {
    const runCounts = new Map<string, number>();
    for (const {model} of world.services.values()) {
      for (const {body} of model.calls) {
        runCounts.set(body, (runCounts.get(body) ?? 0) + 1);
      }
    }
    for (const [body, count] of runCounts) {
      if (count > 1) yield `${body} ran ${count} times`;
    }
  },
  *[Invariant.LEAVING](world) {
    for (const [upstreamId, leavingSince] of world.leavingSinceMilliseconds) {
      const limit = leavingSince + LEAVING_GRACE_MILLISECONDS;
      const runs = world.engines.get(upstreamId)?.model.runs ?? [];
      const calls = world.services.get(upstreamId)?.model.calls ?? [];
      for (const {requestId, atMilliseconds} of [...runs, ...calls]) {
        if (atMilliseconds <= limit) continue;
        const delay = Math.round(atMilliseconds - leavingSince);
        yield `${upstreamId} got ${requestId} ${delay} ms after leaving`;
      }
    }
  },
  *[Invariant.PLANNED_STOP](world) {
    for (const {wasNodeAskedToStop, end, request, nodeName} of world.outcomes) {
      if (!wasNodeAskedToStop || end === RequestEnd.ANSWERED) continue;
      if (end === RequestEnd.REFUSED) continue;
      yield `${request.requestId} at ${nodeName} ended ${end ?? 'never'}`;
    }
  },
  *[Invariant.REVISION](world) {
    const accepted = world.acceptedRevision();
    for (const node of [...world.nodes.values(), ...world.replacedNodes]) {
      const {installedRevisions} = node;
      const isGrowing = installedRevisions.every(
        (revision, index) =>
          index === 0 || revision > installedRevisions[index - 1],
      );
      if (!isGrowing)
        yield `${node.name} installed ${installedRevisions.join(', ')}`;
    }
    for (const {name, core} of world.liveNodes()) {
      if (core.catalogueHolder.revision === accepted) continue;
      yield `${name} is at ${core.catalogueHolder.revision}, accepted is ${accepted}`;
    }
    for (const {revision, isAccepted} of world.edits) {
      if (isAccepted && revision > accepted)
        yield `revision ${revision} was lost`;
    }
  },
  *[Invariant.REACHABLE](world) {
    for (const outcome of world.outcomes) {
      const {requestId} = outcome.request;
      if (!requestId.startsWith(PROBE_REQUEST_ID_PREFIX)) continue;
      if (outcome.end === RequestEnd.ANSWERED && outcome.status === 200)
        continue;
      const reason = outcome.refusal?.kind ?? outcome.status ?? 'no answer';
      yield `${requestId} ended ${outcome.end ?? 'never'}: ${reason}`;
    }
  },
  *[Invariant.REPLICAS](world) {
    const [node] = world.liveNodes();
    const catalogue = node?.core.catalogueHolder.current;
    for (const entry of catalogue?.document.entries ?? []) {
      if (entry.kind === EntryKind.SERVICE) continue;
      const item = catalogue?.itemName(entry) ?? '';
      const engines = [...world.engines.values()].filter(({model}) =>
        model.canServe(item),
      );
      if (engines.length >= entry.minimumReplicas) continue;
      yield `${item} is on only ${engines.length} engines`;
    }
  },
  *[Invariant.FINAL_ANSWER](world) {
    for (const {end, request} of world.outcomes) {
      if (end === undefined) yield `${request.requestId} has no answer`;
    }
  },
};

/** Prefix of the ids of the requests that probe the cluster after recovery. */
export const PROBE_REQUEST_ID_PREFIX = 'probe-';

/** Checks every invariant and returns all violations. */
export function findViolations(world: SimulatedWorld): Violation[] {
  return Object.values(Invariant).flatMap(invariant =>
    [...INVARIANT_CHECKS[invariant](world)].map(evidence => ({
      invariant,
      evidence,
    })),
  );
}

function isExpectedAnswer(outcome: CallerOutcome): boolean {
  const {request, body} = outcome;
  try {
    if (request.entry === 'release') {
      return (JSON.parse(body) as {body: string}).body === request.content;
    }
    const expected = expectedCompletionText(
      request.content,
      request.tokenCount,
    );
    return extractCompletionText(body) === expected;
  } catch {
    return false;
  }
}

/** Returns the ids of the requests that any upstream ran. */
function findExecutedRequestIds(world: SimulatedWorld): ReadonlySet<string> {
  const engineRuns = [...world.engines.values()].flatMap(
    ({model}) => model.runs,
  );
  const serviceCalls = [...world.services.values()].flatMap(
    ({model}) => model.calls,
  );
  const executions = [...engineRuns, ...serviceCalls];
  return new Set(executions.map(({requestId}) => requestId));
}
