/** The platform's object API behind one interface. */
export type {HttpObjectStoreOptions} from './http_object_store.js';
export type {
  ObjectStore,
  StoredObject,
  StoreResult,
  WatchBatch,
} from './object_store.js';

export {HttpObjectStore} from './http_object_store.js';
export {StoreCallCounter} from './store_call_counter.js';
export {StoreError, StoreErrorKind} from './store_error.js';
export {writeConfirmed} from './write_confirmed.js';
