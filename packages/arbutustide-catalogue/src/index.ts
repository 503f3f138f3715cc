/** The catalogue: schema, storage, acceptance of edits, active revision. */
export type {RevisionListener} from './catalogue_holder.js';
export type {
  CatalogueCaller,
  CatalogueDocument,
  CatalogueEntry,
  RequestClass,
} from './catalogue_schema.js';
export type {
  CatalogueEdit,
  ContentReader,
  HeadSnapshot,
} from './catalogue_store.js';
export type {
  CatalogueSyncEnvironment,
  CataloguePeer,
  CatalogueSyncOptions,
} from './catalogue_sync.js';
export type {CatalogueChange} from './diff_catalogues.js';
export type {CatalogueHead, CatalogueManifest} from './stored_catalogue.js';
export type {WorkerCapacity} from './validate_catalogue.js';

export {CatalogueHolder} from './catalogue_holder.js';
export {CatalogueRevision} from './catalogue_revision.js';
export {catalogueSchema} from './catalogue_schema.js';
export {assembleRevision, CatalogueStore} from './catalogue_store.js';
export {CatalogueSync} from './catalogue_sync.js';
export {ChangeKind, diffCatalogues} from './diff_catalogues.js';
export {EntryKind, IdempotencyKeyPolicy} from './entry_kind.js';
export {
  entryNameOfItem,
  isIdempotent,
  isIdempotencyKeyRequired,
} from './entry_rules.js';
export {
  contentDigest,
  contentKey,
  HEAD_KEY,
  headSchema,
  joinDocument,
  manifestSchema,
  splitDocument,
} from './stored_catalogue.js';
export {checkCapacity, validateCatalogue} from './validate_catalogue.js';
