import type {AddressInfo, Server, Socket} from 'node:net';

import type {AnswerForm, BrokenAnswer} from './broken_answers.js';

import {once} from 'node:events';
import {createServer} from 'node:net';

import {delay} from '@arbutustide/errors';

import {
  ANSWER_FORMS,
  ConnectionEnd,
  listBrokenAnswers,
} from './broken_answers.js';

const HEAD_TERMINATOR = '\r\n\r\n';
const CONTENT_LENGTH_PATTERN = /content-length: (\d+)/i;
/** Time in which what was written before is read. */
const LATE_MILLISECONDS = 3;
const WHOLE_FORM = ANSWER_FORMS[0];

/** What a client got for one request. */
export interface ReceivedAnswer {
  readonly isWhole: boolean;
  readonly body: string;
}

/** A client whose answers are broken off. */
export interface BreakableClient {
  /** Sends a request and reads its answer. */
  send(): Promise<ReceivedAnswer>;
  close(): Promise<void>;
}

/** What answers need so that the client under test takes them for its own. */
export interface AnswerContent {
  /** Header lines, by the head of the request. */
  readonly headers: (requestHead: string) => readonly string[];
  /** A body that differs by its number, of constant length. */
  readonly body: (number: number) => string;
  /** Whether no part of a body could be a whole one, as for a JSON object. */
  readonly showsItsEnd?: boolean;
}

const END_CONNECTION: Readonly<
  Record<ConnectionEnd, (socket: Socket) => Promise<void> | void>
> = {
  [ConnectionEnd.CLOSE]: socket => void socket.end(),
  [ConnectionEnd.RESET]: socket => void socket.resetAndDestroy(),
  [ConnectionEnd.LATE_RESET]: async socket => {
    await delay(LATE_MILLISECONDS);
    socket.resetAndDestroy();
  },
};

/** A server whose answers stop after a number of bytes. */
class AnswerBreaker {
  /** How the next answer breaks off; whole if undefined. */
  nextBreak: BrokenAnswer | undefined;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private answerCount = 0;

  constructor(private readonly content: AnswerContent) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** `HOST:PORT`. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The body of the answer that was given last. */
  get lastBody(): string {
    return this.content.body(this.answerCount);
  }

  async listen(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      const end = received.indexOf(HEAD_TERMINATOR);
      if (end < 0) return;
      const head = received.slice(0, end);
      const bodyLength = Number(CONTENT_LENGTH_PATTERN.exec(head)?.[1] ?? 0);
      if (received.length < end + HEAD_TERMINATOR.length + bodyLength) return;
      received = '';
      this.answer(socket, head);
    });
  }

  private answer(socket: Socket, head: string): void {
    const broken = this.nextBreak;
    this.nextBreak = undefined;
    this.answerCount += 1;
    const headers = this.content.headers(head);
    const {form = WHOLE_FORM, length, end} = broken ?? {};
    const bytes = form.format(headers, this.lastBody).slice(0, length);
    socket.write(bytes, 'latin1');
    if (end) void END_CONNECTION[end](socket);
  }
}

/**
 * Breaks off answers of all forms after each of their bytes.
 *
 * @param stride distance of the bytes after which answers break off.
 * @param connect creates a client of a server; its requests go one by one.
 * @return a line for each broken answer that was taken for a whole one, and for
 *     each request that did not get its own answer afterwards.
 */
export async function findAnswersTakenForWhole(
  connect: (address: string) => BreakableClient,
  content: AnswerContent,
  stride = 1,
): Promise<string[]> {
  const problems = await Promise.all(
    ANSWER_FORMS.map(form =>
      breakAnswersOfForm(connect, content, form, stride),
    ),
  );
  return problems.flat();
}

async function breakAnswersOfForm(
  connect: (address: string) => BreakableClient,
  content: AnswerContent,
  form: AnswerForm,
  stride: number,
): Promise<string[]> {
  const problems: string[] = [];
  const breaker = new AnswerBreaker(content);
  await breaker.listen();
  const sample = form.format(content.headers(''), content.body(0));
  let client = connect(breaker.address);
  for (const broken of listBrokenAnswers(form, sample, stride)) {
    if (broken.isKept) {
      await client.send();
    } else {
      await client.close();
      client = connect(breaker.address);
    }
    const problem = await breakAnswer(client, breaker, broken, content);
    if (problem) problems.push(`${describe(broken, sample)}: ${problem}`);
  }
  await client.close();
  breaker.close();
  return problems;
}

/** Breaks off one answer; what is wrong with what the client got, if it is. */
async function breakAnswer(
  client: BreakableClient,
  breaker: AnswerBreaker,
  broken: BrokenAnswer,
  content: AnswerContent,
): Promise<string | undefined> {
  breaker.nextBreak = broken;
  const received = await client.send();
  if (received.isWhole && !mayPassForWhole(broken, content))
    return `taken for whole, with body "${received.body}"`;
  const next = await client.send();
  if (!next.isWhole) return 'the next request got no whole answer';
  return next.body === breaker.lastBody
    ? undefined
    : `the next request got "${next.body}"`;
}

/**
 * Whether an answer is whole, or can't be told from a whole one: it has no
 * length, and its connection ended regularly after its head.
 */
function mayPassForWhole(
  {form, length, end}: BrokenAnswer,
  {headers, body, showsItsEnd}: AnswerContent,
): boolean {
  if (!form.endsWithConnection) return false;
  const sampleBody = body(0);
  const wholeLength = form.format(headers(''), sampleBody).length;
  if (showsItsEnd) return length === wholeLength;
  const headLength = wholeLength - sampleBody.length;
  return end === ConnectionEnd.CLOSE && length >= headLength;
}

function describe({form, length, end, isKept}: BrokenAnswer, sample: string) {
  const connection = isKept ? 'kept' : 'new';
  return `${form.name}, ${end} after ${length} of ${sample.length} bytes on a ${connection} connection`;
}
