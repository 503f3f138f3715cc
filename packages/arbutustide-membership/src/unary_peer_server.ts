import type {DescMethod, Message} from '@bufbuild/protobuf';
import type {IncomingHttpHeaders, ServerHttp2Stream} from 'node:http2';

import type {PeerRoutes} from './peer_routes.js';

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {
  codeToHttpStatus,
  errorToJsonBytes,
} from '@connectrpc/connect/protocol-connect';

import {MembershipService} from './gen/arbutustide/membership/v1/membership_pb.js';
import {
  decodeUnaryMessage,
  encodeUnaryMessage,
  readBody,
  UNARY_CONTENT_TYPE,
} from './unary_messages.js';

type UnaryAnswer = Message | Record<string, unknown>;
/** The implementation of a unary method. */
type UnaryRoute = (request: Message) => UnaryAnswer | Promise<UnaryAnswer>;

/** Serves one unary call. */
export type UnaryHandler = (
  stream: ServerHttp2Stream,
  headers: IncomingHttpHeaders,
) => Promise<void>;

function createUnaryHandler(
  {input, output}: Pick<DescMethod, 'input' | 'output'>,
  handle: UnaryRoute,
): UnaryHandler {
  return async (stream, headers) => {
    try {
      const bytes = await readBody(stream);
      const encoding = headers['content-encoding'];
      const decoded = await decodeUnaryMessage({bytes, encoding});
      const answer = await handle(fromBinary(input, decoded));
      await respond(stream, toBinary(output, create(output, answer)));
    } catch (error) {
      respondWithError(stream, ConnectError.from(error, Code.Internal));
    }
  };
}

/** Handlers of all unary methods, by the path of their calls. */
export function createUnaryHandlers(
  routes: PeerRoutes,
): ReadonlyMap<string, UnaryHandler> {
  const handlers = new Map<string, UnaryHandler>();
  for (const method of MembershipService.methods) {
    if (method.methodKind !== 'unary') continue;
    const handle = routes[method.localName as keyof PeerRoutes] as UnaryRoute;
    handlers.set(
      `/${method.parent.typeName}/${method.name}`,
      createUnaryHandler(method, handle),
    );
  }
  return handlers;
}

/** Whether a call has the form that peers use. */
export function isUnaryCall(headers: IncomingHttpHeaders): boolean {
  return (
    headers[':method'] === 'POST' &&
    headers['content-type'] === UNARY_CONTENT_TYPE &&
    headers['accept-encoding'] === 'gzip'
  );
}

async function respond(
  stream: ServerHttp2Stream,
  message: Uint8Array,
): Promise<void> {
  const {bytes, encoding} = await encodeUnaryMessage(message);
  if (!isOpen(stream)) return;
  stream.respond({
    ':status': 200,
    'content-type': UNARY_CONTENT_TYPE,
    ...(encoding && {'content-encoding': encoding}),
  });
  stream.end(bytes);
}

function respondWithError(
  stream: ServerHttp2Stream,
  error: ConnectError,
): void {
  if (!isOpen(stream) || stream.headersSent) return;
  stream.respond({
    ':status': codeToHttpStatus(error.code),
    'content-type': 'application/json',
  });
  stream.end(errorToJsonBytes(error, undefined));
}

/** Whether the caller still waits. */
function isOpen(stream: ServerHttp2Stream): boolean {
  return !stream.destroyed && !stream.closed && !stream.aborted;
}
