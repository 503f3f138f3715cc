import type {
  DescMessage,
  DescMethodUnary,
  MessageInitShape,
  MessageShape,
} from '@bufbuild/protobuf';
import type {Transport, UnaryResponse} from '@connectrpc/connect';
import type {
  ClientHttp2Stream,
  IncomingHttpHeaders,
  IncomingHttpStatusHeader,
} from 'node:http2';

import type {PeerSessionManager} from './peer_session_manager.js';

import {constants} from 'node:http2';

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {
  codeFromHttpStatus,
  errorFromJsonBytes,
} from '@connectrpc/connect/protocol-connect';

import {PEER_COMPRESSION} from './peer_compression.js';
import {
  decodeUnaryMessage,
  encodeUnaryMessage,
  readBody,
  UNARY_CONTENT_TYPE,
} from './unary_messages.js';

const UNARY_HEADERS = {
  'content-type': UNARY_CONTENT_TYPE,
  'connect-protocol-version': '1',
  'accept-encoding': PEER_COMPRESSION.name,
};
const HTTP_OK = 200;

type ResponseHeaders = IncomingHttpHeaders & IncomingHttpStatusHeader;

/**
 * Unary calls of the Connect protocol, straight on HTTP/2 streams. The library's
 * own transport passes each message through universal requests, interceptors and
 * asynchronous iterables, which takes longer than all else in a call of a few
 * hundred bytes.
 */
export class UnaryPeerTransport implements Transport {
  readonly stream: Transport['stream'];

  /** @param streaming used for the calls that are not unary. */
  constructor(
    private readonly sessionManager: PeerSessionManager,
    streaming: Transport,
  ) {
    this.stream = streaming.stream.bind(streaming);
  }

  async unary<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    signal: AbortSignal | undefined,
    _timeoutMilliseconds: number | undefined,
    _header: unknown,
    input: MessageInitShape<I>,
  ): Promise<UnaryResponse<I, O>> {
    const request = create(method.input, input);
    const message = await abortable(signal, call =>
      this.call(method, request, call),
    );
    return {
      stream: false,
      service: method.parent,
      method,
      header: new Headers(),
      trailer: new Headers(),
      message,
    };
  }

  private async call<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    request: MessageShape<I>,
    call: OpenCall,
  ): Promise<MessageShape<O>> {
    const {bytes, encoding} = await encodeUnaryMessage(
      toBinary(method.input, request),
    );
    const headers = encoding
      ? {...UNARY_HEADERS, 'content-encoding': encoding}
      : UNARY_HEADERS;
    const path = `/${method.parent.typeName}/${method.name}`;
    const stream = await this.sessionManager.request('POST', path, headers, {});
    call.attach(stream);
    const responseHeaders = readHeaders(stream);
    stream.end(bytes);
    const [response, body] = await Promise.all([
      responseHeaders,
      readBody(stream, () =>
        this.sessionManager.notifyResponseByteRead(stream),
      ),
    ]);
    const decoded = await decodeUnaryMessage({
      bytes: body,
      encoding: response['content-encoding'],
    });
    if (response[':status'] !== HTTP_OK) throw readError(response, decoded);
    return fromBinary(method.output, decoded);
  }
}

/** A call whose stream is closed when it is given up. */
class OpenCall {
  private stream: ClientHttp2Stream | undefined;
  private isGivenUp = false;

  attach(stream: ClientHttp2Stream): void {
    this.stream = stream;
    if (this.isGivenUp) stream.close(constants.NGHTTP2_CANCEL);
  }

  giveUp(): void {
    this.isGivenUp = true;
    this.stream?.close(constants.NGHTTP2_CANCEL);
  }
}

/** Runs a call until it has ended, or rejects when the signal is aborted. */
async function abortable<T>(
  signal: AbortSignal | undefined,
  run: (call: OpenCall) => Promise<T>,
): Promise<T> {
  const call = new OpenCall();
  if (!signal) return run(call);
  return new Promise<T>((resolve, reject) => {
    const onAbort = () => {
      reject(ConnectError.from(signal.reason, Code.DeadlineExceeded));
      call.giveUp();
    };
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort, {once: true});
    run(call)
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}

function readHeaders(stream: ClientHttp2Stream): Promise<ResponseHeaders> {
  return new Promise((resolve, reject) => {
    stream.once('response', resolve);
    stream.once('error', reject);
    stream.once('close', () => reject(new Error('the stream was closed')));
  });
}

function readError(headers: ResponseHeaders, body: Uint8Array): ConnectError {
  const code = codeFromHttpStatus(headers[':status'] ?? 0);
  const fallback = new ConnectError(`status ${headers[':status']}`, code);
  const isJson = headers['content-type']?.startsWith('application/json');
  return isJson
    ? errorFromJsonBytes(body as Uint8Array<ArrayBuffer>, undefined, fallback)
    : fallback;
}
