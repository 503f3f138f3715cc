import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';
import type {Cancellation} from '@arbutustide/errors';
import type {CallerRequest} from '@arbutustide/routing';
import type {Settings} from '@arbutustide/settings';
import type {IncomingMessage} from 'node:http';
import type {Result} from 'ts-results';

import type {IdentifiedCaller} from './request_identity.js';

import {EntryKind, isKeyRequired} from '@arbutustide/catalogue';
import {ErrorKind, RefusalError} from '@arbutustide/errors';
import {Err, Ok} from 'ts-results';

import {parseCompletionBody} from './completion_body.js';
import {readBody} from './request_body.js';
import {chooseClass} from './request_class.js';
import {mayUse} from './request_identity.js';

const JSON_TYPE = 'application/json';
const KEY_HEADER = 'idempotency-key';
const KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
const BODYLESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

/** A request whose caller is known. */
export interface IdentifiedRequest {
  readonly message: IncomingMessage;
  readonly requestId: string;
  readonly caller: IdentifiedCaller;
  readonly catalogue: CatalogueRevision;
  readonly settings: Settings;
  readonly arrivedAtMilliseconds: number;
  /** Cancelled when the caller goes away. */
  readonly presence: Cancellation;
}

type ReadResult = Promise<Result<CallerRequest, RefusalError>>;

/** Reads a chat or text completion. */
export async function readCompletion(request: IdentifiedRequest): ReadResult {
  const {message, catalogue, settings} = request;
  const contentType = message.headers['content-type'];
  if (!contentType?.toLowerCase().startsWith(JSON_TYPE)) {
    return refuse(
      ErrorKind.UNSUPPORTED_MEDIA_TYPE,
      `content-type "${contentType ?? ''}": allowed: ${JSON_TYPE}`,
    );
  }
  const body = await readBody(message, settings.callers);
  if (!body.ok) return body;
  const completion = parseCompletionBody(body.val);
  if (!completion.ok) return completion;
  const {model, isStream, prefixDigest, withModel} = completion.val;
  const entry = catalogue.entry(model);
  if (!entry || entry.kind === EntryKind.SERVICE) {
    return refuse(ErrorKind.UNKNOWN_ENTRY, `there is no model "${model}"`);
  }
  return finishReading(request, entry, {
    path: message.url ?? '/',
    contentType,
    body: body.val,
    bodyForItem: withModel,
    isStream,
    prefixDigest,
  });
}

/**
 * Reads a call of a plain service.
 *
 * @param entryName first part of the path after `/services/`.
 * @param path the rest of the path with the query.
 */
export async function readServiceCall(
  request: IdentifiedRequest,
  entryName: string,
  path: string,
): ReadResult {
  const {message, catalogue, settings} = request;
  const entry = catalogue.entry(entryName);
  if (entry?.kind !== EntryKind.SERVICE) {
    return refuse(
      ErrorKind.UNKNOWN_ENTRY,
      `there is no service "${entryName}"`,
    );
  }
  const body = await readBody(message, settings.callers);
  if (!body.ok) return body;
  const isBodyless =
    body.val.length === 0 && BODYLESS_METHODS.has(message.method ?? '');
  const sent = isBodyless ? undefined : body.val;
  return finishReading(request, entry, {
    path,
    contentType: message.headers['content-type'],
    body: sent,
    bodyForItem: () => sent,
    isStream: false,
    prefixDigest: undefined,
  });
}

/** The part of a request that its route reads. */
type RouteContent = Pick<
  CallerRequest,
  'path' | 'contentType' | 'body' | 'bodyForItem' | 'isStream' | 'prefixDigest'
>;

function finishReading(
  request: IdentifiedRequest,
  entry: CatalogueEntry,
  content: RouteContent,
): Result<CallerRequest, RefusalError> {
  const {message, caller, catalogue} = request;
  if (!mayUse(caller, entry.name)) {
    return refuse(
      ErrorKind.FORBIDDEN,
      `${caller.name} may not use ${entry.name}`,
    );
  }
  const method = message.method ?? 'GET';
  const idempotencyKey = message.headers[KEY_HEADER];
  if (idempotencyKey === undefined && isKeyRequired(entry, method)) {
    return refuse(
      ErrorKind.KEY_REQUIRED,
      `${entry.name} may not run twice: send an Idempotency-Key`,
    );
  }
  if (idempotencyKey !== undefined && !isKey(idempotencyKey)) {
    return refuse(
      ErrorKind.BAD_REQUEST,
      'Idempotency-Key: allowed: 1 to 255 printable ASCII characters',
    );
  }
  const chosen = chooseClass(message, entry, catalogue);
  if (!chosen.ok) return chosen;
  const {requestClass, deadlineMilliseconds} = chosen.val;
  return Ok({
    ...content,
    requestId: request.requestId,
    caller: caller.name,
    entry,
    item: catalogue.itemName(entry),
    requestClass,
    method,
    idempotencyKey,
    deadlineAtMilliseconds:
      request.arrivedAtMilliseconds + deadlineMilliseconds,
    presence: request.presence,
  });
}

function isKey(value: string | string[]): value is string {
  return typeof value === 'string' && KEY_PATTERN.test(value);
}

function refuse(
  kind: ErrorKind,
  message: string,
): Result<CallerRequest, RefusalError> {
  return Err(new RefusalError(kind, message));
}
