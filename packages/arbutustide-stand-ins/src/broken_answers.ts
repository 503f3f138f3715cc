/** How a connection ends in the middle of an answer. */
export enum ConnectionEnd {
  CLOSE = 'closed',
  RESET = 'reset',
  /** The reset comes after the bytes before it have been read. */
  LATE_RESET = 'reset later',
}

/** A form of an HTTP answer. */
export interface AnswerForm {
  readonly name: string;
  /** Whether the answer ends with its connection, as nothing else ends it. */
  readonly endsWithConnection: boolean;
  /** The bytes of a whole answer. */
  format(headers: readonly string[], body: string): string;
}

/** An answer that stops after some of its bytes. */
export interface BrokenAnswer {
  readonly form: AnswerForm;
  readonly length: number;
  readonly end: ConnectionEnd;
  /** Whether its connection has carried a whole answer before. */
  readonly isKept: boolean;
}

/** Bytes of a whole answer, with the line ends of HTTP. */
function join(
  startLine: string,
  headers: readonly string[],
  rest: string,
  lineEnd = '\r\n',
): string {
  return [startLine, ...headers, '', rest].join(lineEnd);
}

function formatChunks(body: string, end: string): string {
  const middle = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, middle), body.slice(middle)];
  const formatted = chunks
    .filter(chunk => chunk !== '')
    .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  return formatted.join('') + end;
}

const OK_LINE = 'HTTP/1.1 200 OK';
const lengthOf = (body: string) => `Content-Length: ${body.length}`;

/** Forms of answers that upstreams and their libraries write. */
export const ANSWER_FORMS: readonly AnswerForm[] = [
  {
    name: 'with length',
    endsWithConnection: false,
    format: (headers, body) =>
      join(OK_LINE, [...headers, lengthOf(body)], body),
  },
  {
    name: 'chunked',
    endsWithConnection: false,
    format: (headers, body) =>
      join(
        OK_LINE,
        [...headers, 'Transfer-Encoding: chunked'],
        formatChunks(body, '0\r\n\r\n'),
      ),
  },
  {
    name: 'chunked with trailer',
    endsWithConnection: false,
    format: (headers, body) =>
      join(
        OK_LINE,
        [...headers, 'Trailer: Digest', 'Transfer-Encoding: chunked'],
        formatChunks(body, '0\r\nDigest: abc\r\n\r\n'),
      ),
  },
  {
    name: 'closing',
    endsWithConnection: true,
    format: (headers, body) =>
      join(OK_LINE, [...headers, 'Connection: close'], body),
  },
  {
    name: 'of an unknown transfer coding',
    endsWithConnection: true,
    format: (headers, body) =>
      join(OK_LINE, [...headers, 'Transfer-Encoding: identity'], body),
  },
  {
    name: 'HTTP/1.0',
    endsWithConnection: true,
    format: (headers, body) => join('HTTP/1.0 200 OK', headers, body),
  },
  {
    name: 'HTTP/1.0 with length',
    endsWithConnection: false,
    format: (headers, body) =>
      join('HTTP/1.0 200 OK', [...headers, lengthOf(body)], body),
  },
  {
    name: 'after an interim answer',
    endsWithConnection: false,
    format: (headers, body) =>
      join('HTTP/1.1 103 Early Hints', ['Link: </style>'], '') +
      join(OK_LINE, [...headers, lengthOf(body)], body),
  },
  {
    name: 'closing, after an interim answer',
    endsWithConnection: true,
    format: (headers, body) =>
      join('HTTP/1.0 100 Continue', [], '') +
      join(OK_LINE, [...headers, 'Connection: close'], body),
  },
  {
    name: 'with bare line feeds',
    endsWithConnection: false,
    format: (headers, body) =>
      join(OK_LINE, [...headers, lengthOf(body)], body, '\n'),
  },
  {
    name: 'closing, with bare line feeds',
    endsWithConnection: true,
    format: (headers, body) => join(OK_LINE, headers, body, '\n'),
  },
  {
    name: 'without content',
    endsWithConnection: false,
    format: headers => join('HTTP/1.1 204 No Content', headers, ''),
  },
  {
    name: 'error with length',
    endsWithConnection: false,
    format: (headers, body) =>
      join(
        'HTTP/1.1 500 Internal Server Error',
        [...headers, lengthOf(body)],
        body,
      ),
  },
  {
    name: 'error, closing',
    endsWithConnection: true,
    format: (headers, body) =>
      join('HTTP/1.1 500 Internal Server Error', headers, body),
  },
];

/**
 * Answers of a form that stop after one of their bytes.
 *
 * @param stride distance of the bytes after which they stop.
 */
export function* listBrokenAnswers(
  form: AnswerForm,
  bytes: string,
  stride: number,
): Generator<BrokenAnswer> {
  for (const isKept of [false, true]) {
    for (const end of Object.values(ConnectionEnd)) {
      const isWhole = !form.endsWithConnection || end === ConnectionEnd.CLOSE;
      const last = isWhole ? bytes.length - 1 : bytes.length;
      for (let length = last % stride; length <= last; length += stride)
        yield {form, length, end, isKept};
    }
  }
}
