import type {StoredObject, WatchBatch} from './object_store.js';

/**
 * Merges consecutive batches into one that leads to the same state. An object
 * that was deleted and created again counts as changed. One that was changed and
 * then deleted is reported as both, in this order, so that objects which existed
 * for a short time are seen.
 *
 * @param version version that the batches lead to.
 */
export function mergeBatches(
  batches: Iterable<Pick<WatchBatch, 'changes' | 'deletedKeys'>>,
  version: number,
): WatchBatch {
  const changes = new Map<string, StoredObject>();
  const deletedKeys = new Set<string>();
  for (const batch of batches) {
    for (const object of batch.changes) {
      changes.set(object.key, object);
      deletedKeys.delete(object.key);
    }
    for (const key of batch.deletedKeys) deletedKeys.add(key);
  }
  return {
    changes: [...changes.values()],
    deletedKeys: [...deletedKeys],
    version,
  };
}
