import {createHash} from 'node:crypto';

import {delay} from '@arbutustide/errors';

/** One answer being generated. */
export interface GenerationRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly item: string;
  /** The prompt, by which an answer is known to belong to its request. */
  readonly prompt: string;
  readonly tokenCount: number;
  readonly priority: number;
}

/** How a generation ended. */
export enum GenerationEnd {
  RUNNING = 'running',
  WHOLE = 'whole',
  CANCELLED = 'cancelled',
  CRASHED = 'crashed',
}

/** How long a generation nobody reads goes on, for a reader to resume. */
const UNREAD_MILLISECONDS = 2_000;

/** The text of a whole answer; tests compare it with what callers got. */
export function expectedText(prompt: string, tokenCount: number): string {
  return [...tokens(prompt, tokenCount)].join('');
}

function* tokens(prompt: string, tokenCount: number): Generator<string> {
  const digest = createHash('sha1').update(prompt).digest('hex').slice(0, 8);
  yield `[${digest}]`;
  for (let index = 1; index < tokenCount; index += 1) yield ` t${index}`;
}

/** Generates one answer; readers may come and go while it runs. */
export class Generation {
  readonly produced: string[] = [];
  end = GenerationEnd.RUNNING;
  private readers = 0;
  private news = new AbortController();
  private readonly stopped = new AbortController();

  constructor(readonly request: GenerationRequest) {}

  /** Produces all tokens, one after the other. */
  async run(
    firstTokenMilliseconds: number,
    tokenMilliseconds: () => number,
  ): Promise<void> {
    const {signal} = this.stopped;
    let pause = firstTokenMilliseconds;
    for (const token of tokens(this.request.prompt, this.request.tokenCount)) {
      if (pause > 0) await delay(pause, signal);
      if (signal.aborted) return;
      this.produced.push(token);
      this.announce();
      pause = tokenMilliseconds();
    }
    this.finish(GenerationEnd.WHOLE);
  }

  /** Ends the generation before its last token. */
  stop(end: GenerationEnd.CANCELLED | GenerationEnd.CRASHED): void {
    if (this.end !== GenerationEnd.RUNNING) return;
    this.finish(end);
    this.stopped.abort();
  }

  /**
   * Yields tokens from an index on, as they are produced.
   *
   * @param signal aborted when the reader goes away.
   */
  async *read(
    fromIndex: number,
    signal: AbortSignal,
  ): AsyncGenerator<string, GenerationEnd> {
    this.readers += 1;
    try {
      for (let index = fromIndex; ; index += 1) {
        while (index >= this.produced.length) {
          if (this.end !== GenerationEnd.RUNNING) return this.end;
          if (signal.aborted) return this.end;
          await this.waitForNews(signal);
        }
        yield this.produced[index];
      }
    } finally {
      this.readers -= 1;
      void this.cancelIfUnread();
    }
  }

  private async cancelIfUnread(): Promise<void> {
    if (this.readers > 0 || this.end !== GenerationEnd.RUNNING) return;
    await delay(UNREAD_MILLISECONDS, this.stopped.signal);
    if (this.readers === 0) this.stop(GenerationEnd.CANCELLED);
  }

  private async waitForNews(signal: AbortSignal): Promise<void> {
    const either = AbortSignal.any([this.news.signal, signal]);
    if (either.aborted) return;
    await new Promise<void>(resolve => {
      either.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private finish(end: GenerationEnd): void {
    this.end = end;
    this.announce();
  }

  private announce(): void {
    const announced = this.news;
    this.news = new AbortController();
    announced.abort();
  }
}
