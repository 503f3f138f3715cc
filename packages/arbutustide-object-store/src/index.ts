/** Interface to the platform's object API and its HTTP client. */
export type {HttpObjectStoreOptions} from './http_object_store.js';
export type {PrefixListener, PrefixWatcherOptions} from './prefix_watcher.js';
export type {
  ObjectStore,
  StoredList,
  StoredObject,
  StoreResult,
  WatchBatch,
} from './object_store.js';
export type {
  StoreAnswer,
  StoreCall,
  StoreHttpClientOptions,
} from './store_http_client.js';

export {HttpObjectStore} from './http_object_store.js';
export {limitNesting} from './limit_nesting.js';
export {mergeBatches} from './merge_batches.js';
export {PrefixWatcher} from './prefix_watcher.js';
export {StoreCallCounter} from './store_call_counter.js';
export {StoreError, StoreErrorKind} from './store_error.js';
export {StoreHttpClient} from './store_http_client.js';
export {eraOfVersion, revisionOfVersion, toVersion} from './store_version.js';
export {writeAndConfirm} from './write_and_confirm.js';
