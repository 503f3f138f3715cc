import type {Result} from 'ts-results';

import type {ObjectStore, StoredObject} from './object_store.js';

import {Err} from 'ts-results';

import {StoreError, StoreErrorKind} from './store_error.js';

/**
 * Writes an object and, when the write does not succeed, reads the object back
 * to find out whether this write took effect after all.
 *
 * @param version the version to replace, or undefined to create.
 * @param isOwnWrite whether a value that was read back is the one written here;
 *     the value must contain an id that no other writer uses.
 * @return the object as written; `CONFLICT` when another write took effect
 *     first; `UNAVAILABLE` when nothing was written; `ERA_CHANGED` when the
 *     store was restored since the version was read; `OUTCOME_UNKNOWN` when
 *     the read could not decide.
 */
export async function writeAndConfirm(
  store: ObjectStore,
  key: string,
  value: unknown,
  version: number | undefined,
  isOwnWrite: (value: unknown) => boolean,
): Promise<Result<StoredObject, StoreError>> {
  const written =
    version === undefined
      ? await store.create(key, value)
      : await store.update(key, value, version);
  if (written.ok) return written;
  if (written.val.kind === StoreErrorKind.UNAVAILABLE) return written;
  if (written.val.kind === StoreErrorKind.ERA_CHANGED) return written;
  const current = await store.get(key);
  if (current.ok && isOwnWrite(current.val.value)) return current;
  if (written.val.kind === StoreErrorKind.CONFLICT) return written;
  if (current.ok && current.val.version !== version) {
    return Err(
      new StoreError(
        StoreErrorKind.CONFLICT,
        `${key} was written by another writer: version ${current.val.version}`,
      ),
    );
  }
  return written;
}
