import type {CallerRequest} from './caller_request.js';

import {createHash} from 'node:crypto';

/** Hash that is equal for requests with the same entry, path and body. */
export function requestFingerprint(request: CallerRequest): string {
  const hash = createHash('sha1').update(request.entry.name);
  hash.update('\0').update(request.path).update('\0');
  if (request.body) hash.update(request.body);
  return hash.digest('hex');
}
