import type {ReceivedAnswer} from '../processes/caller_client.js';
import type {
  ProcessCluster,
  RunningNodeProcess,
} from '../processes/process_cluster.js';
import type {SoakReport} from './soak_report.js';

import {delay} from '@arbutustide/errors';
import {expectedCompletionText} from '@arbutustide/stand-ins';

import {extractCompletionText} from '../completion_text.js';
import {sendCompletion, recordRelease} from '../processes/caller_client.js';
import {DEMO_MODEL_NAMES} from '../processes/demo_cluster.js';

const COMPLETION_TOKEN_COUNT = 12;
const OK_STATUS = 200;
const MAXIMUM_RELEASE_ATTEMPTS = 4;
const REQUEST_INTERVAL_MILLISECONDS = 40;

/** A request in flight, kept to detect requests that a planned stop cuts off. */
export interface InFlightRequest {
  readonly nodeName: string;
  /** Whether its node was asked to stop while it was in flight. */
  wasNodeAskedToStop: boolean;
}

/** Callers that send requests to random nodes and check every answer. */
export class SoakLoadGenerator {
  readonly requestsInFlight = new Set<InFlightRequest>();
  private sentCount = 0;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly report: SoakReport,
    private readonly random: () => number,
  ) {}

  /** Sends the requests of one caller until the signal is aborted. */
  async runCaller(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.random() < 0.3) await this.sendRelease();
      else await this.sendCompletion();
      await delay(REQUEST_INTERVAL_MILLISECONDS);
    }
  }

  private async sendCompletion(): Promise<void> {
    this.sentCount += 1;
    const prompt = `prompt ${this.sentCount}`;
    const stream = this.random() < 0.5;
    const model = this.pickRandom(DEMO_MODEL_NAMES);
    const answer = await this.sendToRandomNode(node =>
      sendCompletion(node, {
        model,
        prompt,
        stream,
        max_tokens: COMPLETION_TOKEN_COUNT,
      }),
    );
    if (answer.status !== OK_STATUS || !answer.isComplete) return;
    if (!isExpectedCompletion(answer, prompt))
      this.report.mixedOrPartialAnswers += 1;
  }

  private async sendRelease(): Promise<void> {
    this.sentCount += 1;
    const key = `release ${this.sentCount}`;
    for (let attempt = 0; attempt < MAXIMUM_RELEASE_ATTEMPTS; attempt += 1) {
      const answer = await this.sendToRandomNode(node =>
        recordRelease(node, key),
      );
      if (answer.status === OK_STATUS) {
        const isOwnAnswer = answer.body.includes(key);
        if (!isOwnAnswer) this.report.mixedOrPartialAnswers += 1;
        return;
      }
    }
  }

  private async sendToRandomNode(
    send: (node: RunningNodeProcess) => Promise<ReceivedAnswer>,
  ): Promise<ReceivedAnswer> {
    const node = this.pickRandom([...this.cluster.nodes.values()]);
    const request: InFlightRequest = {
      nodeName: node.name,
      wasNodeAskedToStop: false,
    };
    this.requestsInFlight.add(request);
    const answer = await send(node);
    this.requestsInFlight.delete(request);
    this.countAnswer(answer, request);
    return answer;
  }

  private countAnswer(answer: ReceivedAnswer, request: InFlightRequest): void {
    const {report} = this;
    report.requests += 1;
    if (answer.status === OK_STATUS && answer.isComplete) {
      report.answered += 1;
      return;
    }
    if (answer.status >= 400 && answer.isComplete) {
      const kind = refusalKind(answer.body);
      const previousCount = report.refusalsByKind.get(kind) ?? 0;
      report.refusalsByKind.set(kind, previousCount + 1);
      return;
    }
    report.connectionsLost += 1;
    if (request.wasNodeAskedToStop) report.requestsCutByStops += 1;
  }

  private pickRandom<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)];
  }
}

function isExpectedCompletion({body}: ReceivedAnswer, prompt: string): boolean {
  try {
    return (
      extractCompletionText(body) ===
      expectedCompletionText(prompt, COMPLETION_TOKEN_COUNT)
    );
  } catch {
    return false;
  }
}

function refusalKind(body: string): string {
  try {
    return (JSON.parse(body) as {error: {code: string}}).error.code;
  } catch {
    return 'no refusal of ours';
  }
}
