import type {CallerAnswer, CallerRequest} from '@arbutustide/routing';

import type {SimulatedNode} from './simulated_node.js';

import {Cancellation, invariant, type RefusalError} from '@arbutustide/errors';
import {AnswerEnd} from '@arbutustide/routing';

import {runOutsideProcesses} from './simulated_process.js';

/** How a caller's request ended, as the caller saw it. */
export enum CallerEnd {
  ANSWERED = 'answered',
  REFUSED = 'refused',
  /** The answer ended visibly unfinished. */
  BROKEN = 'broken',
  /** The node went away without an answer. */
  CONNECTION_LOST = 'connection_lost',
}

/** A request as a test writes it. */
export interface SimulatedRequest {
  readonly requestId: string;
  readonly entry: string;
  /** Prompt of a completion, or body of a service call. */
  readonly content: string;
  readonly tokenCount: number;
  readonly isStream: boolean;
  readonly idempotencyKey?: string | undefined;
}

/** One request and its end, as the caller saw it. */
export interface CallerOutcome {
  readonly request: SimulatedRequest;
  readonly nodeName: string;
  end: CallerEnd | undefined;
  refusal: RefusalError | undefined;
  status: number | undefined;
  /** Body as received. */
  body: string;
  /** Whether its node was asked to stop while it was in flight. */
  wasNodeAskedToStop: boolean;
}

/** Sends a request to a node and waits for its end. */
export async function sendRequest(
  node: SimulatedNode,
  planned: SimulatedRequest,
  outcome: CallerOutcome,
): Promise<void> {
  const request = createCallerRequest(node, planned);
  const lost = new Promise<undefined>(resolve => {
    node.process.onDeath(() => resolve(undefined));
  });
  const answer = await runOutsideProcesses(() =>
    Promise.race([
      runInNode(node, () => node.core.dispatcher.dispatch(request)),
      lost,
    ]),
  );
  if (!answer) {
    outcome.end = CallerEnd.CONNECTION_LOST;
    return;
  }
  if (!answer.ok) {
    outcome.end = CallerEnd.REFUSED;
    outcome.refusal = answer.val;
    return;
  }
  await readAnswer(node, answer.val, outcome, lost);
}

async function readAnswer(
  node: SimulatedNode,
  answer: CallerAnswer,
  outcome: CallerOutcome,
  lost: Promise<undefined>,
): Promise<void> {
  outcome.status = answer.status;
  for (;;) {
    const piece = await Promise.race([
      runInNode(node, () => answer.pieces.next()),
      lost,
    ]);
    if (!piece) {
      outcome.end = CallerEnd.CONNECTION_LOST;
      return;
    }
    if (piece.done) {
      const isWhole = piece.value === AnswerEnd.WHOLE;
      outcome.end = isWhole ? CallerEnd.ANSWERED : CallerEnd.BROKEN;
      return;
    }
    outcome.body += Buffer.from(piece.value).toString('utf8');
  }
}

/** Runs code in the node as soon as the node's process runs. */
function runInNode<T>(node: SimulatedNode, code: () => Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    node.process.runWhenRunning(() => {
      code().then(resolve, reject);
    });
  });
}

function createCallerRequest(
  node: SimulatedNode,
  planned: SimulatedRequest,
): CallerRequest {
  const catalogue = node.core.holder.current;
  const entry = catalogue?.entry(planned.entry);
  const requestClass = catalogue?.requestClass(entry?.class ?? '');
  invariant(
    entry !== undefined && requestClass !== undefined,
    `${node.name} does not know ${planned.entry}`,
  );
  const isService = entry.hostGroup !== undefined;
  const bodyOf = (model: string) =>
    Buffer.from(
      isService
        ? planned.content
        : JSON.stringify({
            model,
            prompt: planned.content,
            max_tokens: planned.tokenCount,
            stream: planned.isStream,
          }),
    );
  return {
    requestId: planned.requestId,
    caller: 'tester',
    entry,
    item: catalogue?.itemName(entry) ?? '',
    requestClass,
    method: 'POST',
    path: isService ? '/calls' : '/v1/completions',
    contentType: 'application/json',
    body: bodyOf(planned.entry),
    bodyForItem: bodyOf,
    isStream: planned.isStream,
    idempotencyKey: planned.idempotencyKey,
    prefixDigest: undefined,
    deadlineAtMilliseconds:
      performance.now() + requestClass.deadlineMilliseconds,
    presence: new Cancellation(),
  };
}
