import type {CallerOutcome} from './simulated_caller.js';
import type {World} from './world.js';

import {EntryKind} from '@arbutustide/catalogue';
import {Ran} from '@arbutustide/errors';
import {
  committedBytes,
  WORKER_PREFIX,
  workerRecordSchema,
} from '@arbutustide/placement';
import {expectedText} from '@arbutustide/stand-ins';

import {completionText} from '../completion_text.js';
import {CallerEnd} from './simulated_caller.js';

/** How long after it said so an upstream may still get new work. */
const LEAVING_GRACE_MILLISECONDS = 5_000;

/** What must hold whatever fails; each is judged from records outside. */
export enum Invariant {
  MEMORY = 'memory',
  LEDGER = 'ledger',
  WHOLE_ANSWER = 'whole_answer',
  TRUE_REFUSAL = 'true_refusal',
  AT_MOST_ONCE = 'at_most_once',
  LEAVING = 'leaving',
  PLANNED_STOP = 'planned_stop',
  REVISION = 'revision',
  REACHABLE = 'reachable',
  FINAL_ANSWER = 'final_answer',
  REPLICAS = 'replicas',
}

/** One broken invariant and the records that show it. */
export interface Violation {
  readonly invariant: Invariant;
  readonly evidence: string;
}

type InvariantCheck = (world: World) => Iterable<string>;

const INVARIANT_CHECKS: Readonly<Record<Invariant, InvariantCheck>> = {
  *[Invariant.MEMORY](world) {
    for (const {id, model} of world.engines.values()) {
      for (const {heldBytes, capacityBytes, orderId} of model.overcommits) {
        yield `${id} held ${heldBytes} of ${capacityBytes} after ${orderId}`;
      }
    }
  },
  *[Invariant.LEDGER](world) {
    for (const {key, version, value} of world.table.writes) {
      if (!key.startsWith(WORKER_PREFIX) || value === undefined) continue;
      const record = workerRecordSchema.parse(value);
      const committed = committedBytes(record);
      if (committed <= record.memoryBytes) continue;
      yield `${key} at ${version}: ${committed} of ${record.memoryBytes}`;
    }
  },
  *[Invariant.WHOLE_ANSWER](world) {
    for (const outcome of world.outcomes) {
      if (outcome.end !== CallerEnd.ANSWERED) continue;
      if (outcome.status !== 200 || isExpectedAnswer(outcome)) continue;
      yield `${outcome.request.requestId} got ${outcome.body.slice(0, 200)}`;
    }
  },
  *[Invariant.TRUE_REFUSAL](world) {
    const ran = findExecutedRequestIds(world);
    for (const {end, refusal, request} of world.outcomes) {
      if (end !== CallerEnd.REFUSED || refusal?.ran !== Ran.NO) continue;
      if (!ran.has(request.requestId)) continue;
      yield `${request.requestId} ran, but was refused as ${refusal.kind}`;
    }
  },
  *[Invariant.AT_MOST_ONCE](world) {
    const runs = new Map<string, number>();
    for (const {model} of world.services.values()) {
      for (const {body} of model.calls) {
        runs.set(body, (runs.get(body) ?? 0) + 1);
      }
    }
    for (const [body, count] of runs) {
      if (count > 1) yield `${body} ran ${count} times`;
    }
  },
  *[Invariant.LEAVING](world) {
    for (const [upstreamId, leftAt] of world.leavingSinceMilliseconds) {
      const limit = leftAt + LEAVING_GRACE_MILLISECONDS;
      const runs = world.engines.get(upstreamId)?.model.runs ?? [];
      const calls = world.services.get(upstreamId)?.model.calls ?? [];
      for (const {requestId, atMilliseconds} of [...runs, ...calls]) {
        if (atMilliseconds <= limit) continue;
        const after = Math.round(atMilliseconds - leftAt);
        yield `${upstreamId} got ${requestId} ${after} ms after it left`;
      }
    }
  },
  *[Invariant.PLANNED_STOP](world) {
    for (const {
      wasNodeAskedToStop: wasStopped,
      end,
      request,
      nodeName,
    } of world.outcomes) {
      if (!wasStopped || end === CallerEnd.ANSWERED) continue;
      if (end === CallerEnd.REFUSED) continue;
      yield `${request.requestId} at ${nodeName} ended ${end ?? 'never'}`;
    }
  },
  *[Invariant.REVISION](world) {
    const accepted = world.acceptedRevision();
    for (const node of [...world.nodes.values(), ...world.replacedNodes]) {
      const {installedRevisions: revisions} = node;
      const isGrowing = revisions.every(
        (revision, index) => index === 0 || revision > revisions[index - 1],
      );
      if (!isGrowing) yield `${node.name} had ${revisions.join(', ')}`;
    }
    for (const {name, core} of world.liveNodes()) {
      if (core.holder.revision === accepted) continue;
      yield `${name} is at ${core.holder.revision}, accepted is ${accepted}`;
    }
    for (const {revision, isAccepted} of world.edits) {
      if (isAccepted && revision > accepted) yield `${revision} was lost`;
    }
  },
  *[Invariant.REACHABLE](world) {
    for (const outcome of world.outcomes) {
      const {requestId} = outcome.request;
      if (!requestId.startsWith(PROBE_REQUEST_ID_PREFIX)) continue;
      if (outcome.end === CallerEnd.ANSWERED && outcome.status === 200)
        continue;
      const why = outcome.refusal?.kind ?? outcome.status ?? 'no answer';
      yield `${requestId} ended ${outcome.end ?? 'never'}: ${why}`;
    }
  },
  *[Invariant.REPLICAS](world) {
    const [node] = world.liveNodes();
    const catalogue = node?.core.holder.current;
    for (const entry of catalogue?.document.entries ?? []) {
      if (entry.kind === EntryKind.SERVICE) continue;
      const item = catalogue?.itemName(entry) ?? '';
      const holders = [...world.engines.values()].filter(({model}) =>
        model.holds(item),
      );
      if (holders.length >= entry.minimumReplicas) continue;
      yield `${item} is in ${holders.length} engines`;
    }
  },
  *[Invariant.FINAL_ANSWER](world) {
    for (const {end, request} of world.outcomes) {
      if (end === undefined) yield `${request.requestId} has no answer`;
    }
  },
};

/** Requests whose id starts so are sent at the end, when all is healed. */
export const PROBE_REQUEST_ID_PREFIX = 'probe-';

/** Finds every broken invariant. */
export function judge(world: World): Violation[] {
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
    const expected = expectedText(request.content, request.tokenCount);
    return completionText(body) === expected;
  } catch {
    return false;
  }
}

/** Ids of the requests that any upstream ran. */
function findExecutedRequestIds(world: World): ReadonlySet<string> {
  const engineRuns = [...world.engines.values()].flatMap(
    ({model}) => model.runs,
  );
  const serviceCalls = [...world.services.values()].flatMap(
    ({model}) => model.calls,
  );
  const all = [...engineRuns, ...serviceCalls];
  return new Set(all.map(({requestId}) => requestId));
}
