import type {ReceivedAnswer} from '../processes/caller_client.js';
import type {
  ProcessCluster,
  RunningNodeProcess,
} from '../processes/process_cluster.js';
import type {SoakReport} from './soak_report.js';

import {delay} from '@arbutustide/errors';
import {expectedText} from '@arbutustide/stand-ins';

import {completionText} from '../completion_text.js';
import {complete, recordRelease} from '../processes/caller_client.js';
import {DEMO_MODELS} from '../processes/demo_cluster.js';

const TOKENS = 12;
const OK_STATUS = 200;
const RESENDS = 4;
const PAUSE_MILLISECONDS = 40;

/** Requests in flight at a node, so that a stop can be judged. */
export interface InFlightRequest {
  readonly nodeName: string;
  /** Set when its node was asked to stop meanwhile. */
  wasStopped: boolean;
}

/** Callers that ask all nodes and judge each answer. */
export class SoakLoad {
  readonly inFlight = new Set<InFlightRequest>();
  private sent = 0;

  constructor(
    private readonly cluster: ProcessCluster,
    private readonly report: SoakReport,
    private readonly random: () => number,
  ) {}

  /** One caller, until the signal is aborted. */
  async runCaller(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.random() < 0.3) await this.release();
      else await this.completion();
      await delay(PAUSE_MILLISECONDS);
    }
  }

  private async completion(): Promise<void> {
    this.sent += 1;
    const prompt = `prompt ${this.sent}`;
    const stream = this.random() < 0.5;
    const model = this.pick(DEMO_MODELS);
    const answer = await this.ask(node =>
      complete(node, {model, prompt, stream, max_tokens: TOKENS}),
    );
    if (answer.status !== OK_STATUS || !answer.isWhole) return;
    if (!isExpected(answer, prompt)) this.report.mixedOrPartialAnswers += 1;
  }

  private async release(): Promise<void> {
    this.sent += 1;
    const key = `release ${this.sent}`;
    for (let attempt = 0; attempt < RESENDS; attempt += 1) {
      const answer = await this.ask(node => recordRelease(node, key));
      if (answer.status === OK_STATUS) {
        const isOwn = answer.body.includes(key);
        if (!isOwn) this.report.mixedOrPartialAnswers += 1;
        return;
      }
    }
  }

  private async ask(
    send: (node: RunningNodeProcess) => Promise<ReceivedAnswer>,
  ): Promise<ReceivedAnswer> {
    const node = this.pick([...this.cluster.nodes.values()]);
    const request: InFlightRequest = {nodeName: node.name, wasStopped: false};
    this.inFlight.add(request);
    const answer = await send(node);
    this.inFlight.delete(request);
    this.count(answer, request);
    return answer;
  }

  private count(answer: ReceivedAnswer, request: InFlightRequest): void {
    const {report} = this;
    report.requests += 1;
    if (answer.status === OK_STATUS && answer.isWhole) {
      report.answered += 1;
      return;
    }
    if (answer.status >= 400 && answer.isWhole) {
      const kind = refusalKind(answer.body);
      const known = report.refusalsByKind.get(kind) ?? 0;
      report.refusalsByKind.set(kind, known + 1);
      return;
    }
    report.connectionsLost += 1;
    if (request.wasStopped) report.requestsCutByStops += 1;
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)];
  }
}

function isExpected({body}: ReceivedAnswer, prompt: string): boolean {
  try {
    return completionText(body) === expectedText(prompt, TOKENS);
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
