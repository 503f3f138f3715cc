import {STATUS_CODES} from 'node:http';

import {
  ErrorKind,
  createRefusalAnswer,
  RefusalError,
} from '@arbutustide/errors';

/**
 * Refusal for each `clientError` code of Node's HTTP server; any other code is
 * answered as a bad request.
 */
const ERROR_KIND_BY_PARSER_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: ErrorKind.HEADERS_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.REQUEST_TIMEOUT,
};

/** Formats the answer to input that the HTTP parser rejects. */
export function formatParserErrorAnswer(code = ''): string {
  const kind = ERROR_KIND_BY_PARSER_CODE[code] ?? ErrorKind.BAD_REQUEST;
  const refusal = new RefusalError(
    kind,
    'the request is not valid HTTP or exceeds the limits on headers',
  );
  const {status, headers, body} = createRefusalAnswer(refusal, '');
  const text = JSON.stringify(body);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
    '',
    text,
  ];
  return lines.join('\r\n');
}
