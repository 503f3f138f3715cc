import type {ObjectStore, StoredObject} from '@arbutustide/object-store';
import type {Result} from 'ts-results';

import type {CatalogueDocument} from './catalogue_schema.js';
import type {
  CatalogueHead,
  CatalogueManifest,
  ContentObject,
} from './stored_catalogue.js';

import {
  StoreError,
  StoreErrorKind,
  writeAndConfirm,
} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {CatalogueRevision} from './catalogue_revision.js';
import {
  contentDigest,
  contentKey,
  toContentObject,
  HEAD_KEY,
  headSchema,
  joinDocument,
  manifestSchema,
  splitDocument,
  MAXIMUM_WRITE_IDS,
} from './stored_catalogue.js';

/** A head and the version of its object in the store. */
export interface HeadSnapshot {
  readonly head: CatalogueHead;
  readonly storeVersion: number;
}

/** A proposed new catalogue. */
export interface CatalogueEdit {
  readonly document: CatalogueDocument;
  /** Revision that the edit was validated against; zero if there is none. */
  readonly baseRevision: number;
  readonly author: string;
  /** Time of the edit by the operator's clock, in ISO 8601. */
  readonly time: string;
  /** Random id of this one write. */
  readonly writeId: string;
}

/** Reads a content object by its digest. */
export type ContentReader = (
  digest: string,
) => Promise<Result<unknown, StoreError>>;

/** Reads and writes the accepted catalogue in the platform's object API. */
export class CatalogueStore {
  constructor(private readonly store: ObjectStore) {}

  /** Reads the head; fails with `NOT_FOUND` before the first catalogue. */
  async readHead(): Promise<Result<HeadSnapshot, StoreError>> {
    const stored = await this.store.get(HEAD_KEY);
    return stored.map(toHeadSnapshot);
  }

  /** Reads the catalogue that a head refers to. */
  readRevision(
    head: CatalogueHead,
  ): Promise<Result<CatalogueRevision, StoreError>> {
    return assembleRevision(head, digest => this.readContent(digest));
  }

  /** Reads one content object and checks its digest. */
  async readContent(digest: string): Promise<Result<unknown, StoreError>> {
    const stored = await this.store.get(contentKey(digest));
    if (!stored.ok) return stored;
    if (contentDigest(stored.val.value) !== digest) {
      return Err(
        new StoreError(
          StoreErrorKind.UNAVAILABLE,
          `content ${digest} does not match its digest`,
        ),
      );
    }
    return Ok(stored.val.value);
  }

  /** Yields the manifests from newest to oldest; ends after a failed read. */
  async *readHistory(
    head: CatalogueHead,
  ): AsyncGenerator<Result<CatalogueManifest, StoreError>> {
    let digest: string | undefined = head.manifest;
    while (digest !== undefined) {
      const value: Result<unknown, StoreError> = await this.readContent(digest);
      if (!value.ok) {
        yield value;
        return;
      }
      const manifest: CatalogueManifest = manifestSchema.parse(value.val);
      yield Ok(manifest);
      digest = manifest.previous;
    }
  }

  /**
   * Accepts an edit by a conditional update of the head, on the base revision
   * that the edit was validated against. Of two concurrent edits one therefore
   * fails with `CONFLICT`. After a lost reply, the write id in the head shows
   * whether the edit was accepted.
   */
  async acceptEdit(
    edit: CatalogueEdit,
  ): Promise<Result<CatalogueHead, StoreError>> {
    const base = await this.readHead();
    if (!base.ok && base.val.kind !== StoreErrorKind.NOT_FOUND) return base;
    const snapshot = base.ok ? base.val : undefined;
    const currentRevision = snapshot?.head.revision ?? 0;
    if (snapshot?.head.writeIds.includes(edit.writeId)) {
      return Ok(snapshot.head);
    }
    if (currentRevision !== edit.baseRevision) {
      return Err(
        new StoreError(
          StoreErrorKind.CONFLICT,
          `the catalogue is at revision ${currentRevision}, not at the ` +
            `edit's base ${edit.baseRevision}`,
        ),
      );
    }
    const chunks = splitDocument(edit.document);
    const manifest = toContentObject(
      createNextManifest(edit, chunks, snapshot),
    );
    for (const object of [...chunks, manifest]) {
      const created = await this.createContentIfAbsent(object);
      if (!created.ok) return created;
    }
    const head = createNextHead(edit, manifest, snapshot);
    const written = await writeAndConfirm(
      this.store,
      HEAD_KEY,
      head,
      snapshot?.storeVersion,
      value => headSchema.parse(value).writeIds.includes(edit.writeId),
    );
    return written.map(() => head);
  }

  /** Writes a content object unless it already exists. */
  private async createContentIfAbsent(
    object: ContentObject,
  ): Promise<Result<void, StoreError>> {
    const created = await this.store.create(
      contentKey(object.digest),
      object.value,
    );
    if (created.ok || created.val.kind === StoreErrorKind.CONFLICT) {
      return Ok(undefined);
    }
    return Err(
      new StoreError(
        StoreErrorKind.UNAVAILABLE,
        `the edit was not accepted: ${created.val.message}`,
      ),
    );
  }
}

/** Reads the manifest and chunks that a head refers to. */
export async function assembleRevision(
  head: CatalogueHead,
  readContent: ContentReader,
): Promise<Result<CatalogueRevision, StoreError>> {
  const manifestValue = await readContent(head.manifest);
  if (!manifestValue.ok) return manifestValue;
  const manifest = manifestSchema.parse(manifestValue.val);
  const values: unknown[] = [];
  for (const digest of manifest.chunks) {
    const value = await readContent(digest);
    if (!value.ok) return value;
    values.push(value.val);
  }
  return Ok(new CatalogueRevision(manifest.revision, joinDocument(values)));
}

function toHeadSnapshot(stored: StoredObject): HeadSnapshot {
  return {head: headSchema.parse(stored.value), storeVersion: stored.version};
}

function createNextManifest(
  edit: CatalogueEdit,
  chunks: readonly ContentObject[],
  base: HeadSnapshot | undefined,
): CatalogueManifest {
  return {
    revision: edit.baseRevision + 1,
    chunks: chunks.map(({digest}) => digest),
    author: edit.author,
    time: edit.time,
    writeId: edit.writeId,
    ...(base && {previous: base.head.manifest}),
  };
}

function createNextHead(
  edit: CatalogueEdit,
  manifest: ContentObject,
  base: HeadSnapshot | undefined,
): CatalogueHead {
  const writeIds = [...(base?.head.writeIds ?? []), edit.writeId];
  return {
    revision: edit.baseRevision + 1,
    manifest: manifest.digest,
    writeIds: writeIds.slice(-MAXIMUM_WRITE_IDS),
  };
}
