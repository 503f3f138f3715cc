import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';
import type {Cancellation} from '@arbutustide/errors';
import type {CallerRequest} from '@arbutustide/routing';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import type {BodyResult} from './bounds/arriving_body.js';
import type {AuthenticatedCaller} from './caller_authentication.js';

import {EntryKind, isIdempotencyKeyRequired} from '@arbutustide/catalogue';
import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {parseCompletionBody} from './completion_body.js';
import {chooseRequestClass} from './request_class.js';
import {canUseEntry} from './caller_authentication.js';

const JSON_CONTENT_TYPE = 'application/json';
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
const BODYLESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** An HTTP request whose caller is authenticated, not validated yet. */
export interface AuthenticatedRequest {
  readonly message: IncomingMessage;
  readonly requestId: string;
  readonly caller: AuthenticatedCaller;
  readonly catalogue: CatalogueRevision;
  readonly arrivedAtMilliseconds: number;
  /** Cancelled when the caller disconnects before its answer ended. */
  readonly disconnection: Cancellation;
  readonly readBody: () => Promise<BodyResult>;
}

type ReadRequestResult = Promise<Result<CallerRequest, RefusalError>>;

/**
 * Reads and validates a chat or text completion request.
 *
 * @return the request to dispatch, or the refusal to send to the caller.
 */
export async function readCompletionRequest(
  request: AuthenticatedRequest,
): ReadRequestResult {
  const {message, catalogue} = request;
  const contentType = message.headers['content-type'];
  if (!contentType?.toLowerCase().startsWith(JSON_CONTENT_TYPE)) {
    return refusalResult(
      ErrorKind.UNSUPPORTED_MEDIA_TYPE,
      `content-type "${contentType ?? ''}" is not ${JSON_CONTENT_TYPE}`,
    );
  }
  const body = await request.readBody();
  if (!body.ok) return body;
  const completion = parseCompletionBody(body.val);
  if (!completion.ok) return completion;
  const {model, isStream, prefixDigest, serializeWithModel} = completion.val;
  const entry = catalogue.findEntry(model);
  if (!entry || entry.kind === EntryKind.SERVICE) {
    return refusalResult(
      ErrorKind.UNKNOWN_ENTRY,
      `there is no model "${model}"`,
    );
  }
  return checkAndBuildRequest(request, entry, {
    path: message.url ?? '/',
    contentType,
    body: body.val,
    bodyForItem: serializeWithModel,
    isStream,
    prefixDigest,
  });
}

/**
 * Reads and validates a request to a plain service.
 *
 * @param entryName name of the service's catalogue entry: the path segment
 *     after `/services/`.
 * @param path the remaining path with its query, as sent to the service.
 * @return the request to dispatch, or the refusal to send to the caller.
 */
export async function readServiceRequest(
  request: AuthenticatedRequest,
  entryName: string,
  path: string,
): ReadRequestResult {
  const {message, catalogue} = request;
  const entry = catalogue.findEntry(entryName);
  if (entry?.kind !== EntryKind.SERVICE) {
    return refusalResult(
      ErrorKind.UNKNOWN_ENTRY,
      `there is no service "${entryName}"`,
    );
  }
  const body = await request.readBody();
  if (!body.ok) return body;
  const isBodyless =
    body.val.length === 0 && BODYLESS_METHODS.has(message.method ?? '');
  const forwardedBody = isBodyless ? undefined : body.val;
  return checkAndBuildRequest(request, entry, {
    path,
    contentType: message.headers['content-type'],
    body: forwardedBody,
    bodyForItem: () => forwardedBody,
    isStream: false,
    prefixDigest: undefined,
  });
}

/** Fields of a request that completions and services read differently. */
type RouteSpecificFields = Pick<
  CallerRequest,
  'path' | 'contentType' | 'body' | 'bodyForItem' | 'isStream' | 'prefixDigest'
>;

/**
 * Checks the caller's permission, the idempotency key, the class and the
 * deadline, and builds the request to dispatch.
 */
function checkAndBuildRequest(
  request: AuthenticatedRequest,
  entry: CatalogueEntry,
  routeFields: RouteSpecificFields,
): Result<CallerRequest, RefusalError> {
  const {message, caller, catalogue} = request;
  if (!canUseEntry(caller, entry.name)) {
    return refusalResult(
      ErrorKind.FORBIDDEN,
      `caller ${caller.name} is not allowed to use ${entry.name}`,
    );
  }
  const method = message.method ?? 'GET';
  const idempotencyKey = message.headers[IDEMPOTENCY_KEY_HEADER];
  if (idempotencyKey === undefined && isIdempotencyKeyRequired(entry, method)) {
    return refusalResult(
      ErrorKind.KEY_REQUIRED,
      `requests to ${entry.name} are not idempotent: send an Idempotency-Key`,
    );
  }
  if (idempotencyKey !== undefined && !isValidIdempotencyKey(idempotencyKey)) {
    return refusalResult(
      ErrorKind.BAD_REQUEST,
      'Idempotency-Key must be 1 to 255 printable ASCII characters',
    );
  }
  const classChoice = chooseRequestClass(message, entry, catalogue);
  if (!classChoice.ok) return classChoice;
  const {requestClass, deadlineMilliseconds} = classChoice.val;
  return Ok({
    ...routeFields,
    requestId: request.requestId,
    caller: caller.name,
    entry,
    item: catalogue.itemName(entry),
    requestClass,
    method,
    idempotencyKey,
    callerSeenAtMilliseconds: request.arrivedAtMilliseconds,
    deadlineAtMilliseconds:
      request.arrivedAtMilliseconds + deadlineMilliseconds,
    disconnection: request.disconnection,
  });
}

function isValidIdempotencyKey(value: string | string[]): value is string {
  return typeof value === 'string' && IDEMPOTENCY_KEY_PATTERN.test(value);
}

function refusalResult(
  kind: ErrorKind,
  message: string,
): Result<CallerRequest, RefusalError> {
  return Err(new RefusalError(kind, message));
}
