import type {CallerAnswer, CallerRequest} from '@arbutustide/routing';

import type {SimulatedNode} from './simulated_node.js';

import {Cancellation, invariant, type RefusalError} from '@arbutustide/errors';
import {AnswerEnd} from '@arbutustide/routing';

import {runOutsideProcesses} from './simulated_process.js';

/** How a request ended, as the caller saw it. */
export enum RequestEnd {
  /** The complete answer arrived. */
  ANSWERED = 'answered',
  /** The node answered with a refusal. */
  REFUSED = 'refused',
  /** The answer ended early, in a way that the caller can detect. */
  BROKEN = 'broken',
  /** The connection to the node was lost before the end of the answer. */
  CONNECTION_LOST = 'connection_lost',
}

/** A request as a test or scenario states it. */
export interface SimulatedRequest {
  readonly requestId: string;
  readonly entry: string;
  /** Prompt of a completion, or body of a service call. */
  readonly content: string;
  readonly tokenCount: number;
  readonly isStream: boolean;
  readonly idempotencyKey?: string | undefined;
}

/** A request and its outcome, as the caller saw it. */
export interface CallerOutcome {
  readonly request: SimulatedRequest;
  readonly nodeName: string;
  /** Undefined while the request is in flight. */
  end: RequestEnd | undefined;
  refusal: RefusalError | undefined;
  status: number | undefined;
  /** Body as received so far. */
  body: string;
  /** Whether its node was asked to stop while it was in flight. */
  wasNodeAskedToStop: boolean;
}

/** Sends a request to a node and records its outcome in `outcome`. */
export async function sendSimulatedRequest(
  node: SimulatedNode,
  simulatedRequest: SimulatedRequest,
  outcome: CallerOutcome,
): Promise<void> {
  const request = createCallerRequest(node, simulatedRequest);
  const nodeDeath = new Promise<undefined>(resolve => {
    node.process.onDeath(() => resolve(undefined));
  });
  const answer = await runOutsideProcesses(() =>
    Promise.race([
      runInNode(node, () => node.core.dispatcher.dispatch(request)),
      nodeDeath,
    ]),
  );
  if (!answer) {
    outcome.end = RequestEnd.CONNECTION_LOST;
    return;
  }
  if (!answer.ok) {
    outcome.end = RequestEnd.REFUSED;
    outcome.refusal = answer.val;
    return;
  }
  await readAnswer(node, answer.val, outcome, nodeDeath);
}

async function readAnswer(
  node: SimulatedNode,
  answer: CallerAnswer,
  outcome: CallerOutcome,
  nodeDeath: Promise<undefined>,
): Promise<void> {
  outcome.status = answer.status;
  for (;;) {
    const chunk = await Promise.race([
      runInNode(node, () => answer.chunks.next()),
      nodeDeath,
    ]);
    if (!chunk) {
      outcome.end = RequestEnd.CONNECTION_LOST;
      return;
    }
    if (chunk.done) {
      const isComplete = chunk.value === AnswerEnd.WHOLE;
      outcome.end = isComplete ? RequestEnd.ANSWERED : RequestEnd.BROKEN;
      return;
    }
    outcome.body += Buffer.from(chunk.value).toString('utf8');
  }
}

/** Runs code in the node's process, once that process is not frozen. */
function runInNode<T>(node: SimulatedNode, code: () => Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    node.process.runWhenRunning(() => {
      code().then(resolve, reject);
    });
  });
}

function createCallerRequest(
  node: SimulatedNode,
  simulatedRequest: SimulatedRequest,
): CallerRequest {
  const catalogue = node.core.catalogueHolder.current;
  const entry = catalogue?.findEntry(simulatedRequest.entry);
  const requestClass = catalogue?.findRequestClass(entry?.class ?? '');
  invariant(
    entry !== undefined && requestClass !== undefined,
    `${node.name} does not know ${simulatedRequest.entry}`,
  );
  const isService = entry.hostGroup !== undefined;
  const createBody = (model: string) =>
    Buffer.from(
      isService
        ? simulatedRequest.content
        : JSON.stringify({
            model,
            prompt: simulatedRequest.content,
            max_tokens: simulatedRequest.tokenCount,
            stream: simulatedRequest.isStream,
          }),
    );
  return {
    requestId: simulatedRequest.requestId,
    caller: 'tester',
    entry,
    item: catalogue?.itemName(entry) ?? '',
    requestClass,
    method: 'POST',
    path: isService ? '/calls' : '/v1/completions',
    contentType: 'application/json',
    body: createBody(simulatedRequest.entry),
    bodyForItem: createBody,
    isStream: simulatedRequest.isStream,
    idempotencyKey: simulatedRequest.idempotencyKey,
    prefixDigest: undefined,
    callerSeenAtMilliseconds: performance.now(),
    deadlineAtMilliseconds:
      performance.now() + requestClass.deadlineMilliseconds,
    disconnection: new Cancellation(),
  };
}
