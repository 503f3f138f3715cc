import {createHash} from 'node:crypto';

import {delay} from '@arbutustide/errors';

/** A completion to generate. */
export interface GenerationRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly item: string;
  /** Determines the text, so that an answer can be matched to its request. */
  readonly prompt: string;
  readonly tokenCount: number;
  readonly priority: number;
}

/** Whether a generation runs, or how it ended. */
export enum GenerationState {
  RUNNING = 'running',
  COMPLETED = 'whole',
  CANCELLED = 'cancelled',
  CRASHED = 'crashed',
}

/** How long a generation without readers runs on, so that one can resume. */
const UNREAD_TIMEOUT_MILLISECONDS = 2_000;

/**
 * The text of a complete answer. It starts with a digest of the prompt, so that
 * tests can tell whether a caller received the answer to its own request.
 */
export function expectedCompletionText(
  prompt: string,
  tokenCount: number,
): string {
  return [...generateTokens(prompt, tokenCount)].join('');
}

function* generateTokens(
  prompt: string,
  tokenCount: number,
): Generator<string> {
  const digest = createHash('sha1').update(prompt).digest('hex').slice(0, 8);
  yield `[${digest}]`;
  for (let index = 1; index < tokenCount; index += 1) yield ` t${index}`;
}

/**
 * Generates the tokens of one answer. Readers can disconnect and resume while
 * it runs; it is cancelled if none is left two seconds after one disconnected.
 */
export class Generation {
  readonly producedTokens: string[] = [];
  state = GenerationState.RUNNING;
  private readerCount = 0;
  private changeNotifier = new AbortController();
  private readonly stopController = new AbortController();

  constructor(readonly request: GenerationRequest) {}

  /**
   * Produces all tokens, each after a delay, until done or stopped.
   *
   * @param tokenMilliseconds delay before the next token, asked once a token.
   */
  async produceTokens(
    firstTokenMilliseconds: number,
    tokenMilliseconds: () => number,
  ): Promise<void> {
    const {signal} = this.stopController;
    let delayMilliseconds = firstTokenMilliseconds;
    for (const token of generateTokens(
      this.request.prompt,
      this.request.tokenCount,
    )) {
      if (delayMilliseconds > 0) await delay(delayMilliseconds, signal);
      if (signal.aborted) return;
      this.producedTokens.push(token);
      this.notifyReaders();
      delayMilliseconds = tokenMilliseconds();
    }
    this.finish(GenerationState.COMPLETED);
  }

  /** Ends the generation before its last token; no effect once it ended. */
  stop(finalState: GenerationState.CANCELLED | GenerationState.CRASHED): void {
    if (this.state !== GenerationState.RUNNING) return;
    this.finish(finalState);
    this.stopController.abort();
  }

  /**
   * Yields tokens from an index on, as they are produced.
   *
   * @param disconnection aborted when the reader disconnects.
   */
  async *readTokens(
    fromIndex: number,
    disconnection: AbortSignal,
  ): AsyncGenerator<string, GenerationState> {
    this.readerCount += 1;
    try {
      for (let index = fromIndex; ; index += 1) {
        while (index >= this.producedTokens.length) {
          if (this.state !== GenerationState.RUNNING) return this.state;
          if (disconnection.aborted) return this.state;
          await this.waitForChange(disconnection);
        }
        yield this.producedTokens[index];
      }
    } finally {
      this.readerCount -= 1;
      void this.cancelIfUnread();
    }
  }

  private async cancelIfUnread(): Promise<void> {
    if (this.readerCount > 0 || this.state !== GenerationState.RUNNING) return;
    await delay(UNREAD_TIMEOUT_MILLISECONDS, this.stopController.signal);
    if (this.readerCount === 0) this.stop(GenerationState.CANCELLED);
  }

  private async waitForChange(disconnection: AbortSignal): Promise<void> {
    const changeOrDisconnection = AbortSignal.any([
      this.changeNotifier.signal,
      disconnection,
    ]);
    if (changeOrDisconnection.aborted) return;
    await new Promise<void>(resolve => {
      changeOrDisconnection.addEventListener('abort', () => resolve(), {
        once: true,
      });
    });
  }

  private finish(finalState: GenerationState): void {
    this.state = finalState;
    this.notifyReaders();
  }

  private notifyReaders(): void {
    const notifier = this.changeNotifier;
    this.changeNotifier = new AbortController();
    notifier.abort();
  }
}
