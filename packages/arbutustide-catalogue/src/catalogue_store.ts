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
  writeConfirmed,
} from '@arbutustide/object-store';
import {Err, Ok} from 'ts-results';

import {CatalogueRevision} from './catalogue_revision.js';
import {
  computeContentDigest,
  contentKey,
  toContentObject,
  HEAD_KEY,
  headSchema,
  joinDocument,
  manifestSchema,
  splitDocument,
  MAXIMUM_WRITE_IDS,
} from './stored_catalogue.js';

/** The accepted head together with its version in the store. */
export interface HeadSnapshot {
  readonly head: CatalogueHead;
  readonly storeVersion: number;
}

/** An edit to be accepted. */
export interface CatalogueEdit {
  readonly document: CatalogueDocument;
  /** Revision the edit was validated against; zero for the first. */
  readonly baseRevision: number;
  readonly author: string;
  /** ISO 8601, by the operator's clock. */
  readonly time: string;
  /** Drawn at random for this one write. */
  readonly writeId: string;
}

/** Reads an object addressed by its digest. */
export type ContentReader = (
  digest: string,
) => Promise<Result<unknown, StoreError>>;

/** The accepted catalogue in the platform's object API. */
export class CatalogueStore {
  constructor(private readonly store: ObjectStore) {}

  /** Reads the head; `NOT_FOUND` before the first catalogue. */
  async readHead(): Promise<Result<HeadSnapshot, StoreError>> {
    const stored = await this.store.get(HEAD_KEY);
    return stored.map(toHeadSnapshot);
  }

  /** Reads the catalogue of a head. */
  readRevision(
    head: CatalogueHead,
  ): Promise<Result<CatalogueRevision, StoreError>> {
    return assembleRevision(head, digest => this.readContent(digest));
  }

  /** Reads one content object and checks its digest. */
  async readContent(digest: string): Promise<Result<unknown, StoreError>> {
    const stored = await this.store.get(contentKey(digest));
    if (!stored.ok) return stored;
    if (computeContentDigest(stored.val.value) !== digest) {
      return Err(
        new StoreError(
          StoreErrorKind.UNAVAILABLE,
          `content ${digest} does not match its digest`,
        ),
      );
    }
    return Ok(stored.val.value);
  }

  /** Yields manifests from the newest back. */
  async *history(
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
   * Accepts an edit. Acceptance is the conditional update of the head against
   * the very base that was validated, so of two racing operators one gets
   * `CONFLICT`. A lost reply is resolved by the write id.
   */
  async accept(
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
          `the catalogue is at revision ${currentRevision}, the edit starts ` +
            `from ${edit.baseRevision}`,
        ),
      );
    }
    const chunks = splitDocument(edit.document);
    const manifest = toContentObject(
      createNextManifest(edit, chunks, snapshot),
    );
    for (const object of [...chunks, manifest]) {
      const kept = await this.createContentIfAbsent(object);
      if (!kept.ok) return kept;
    }
    const head = createNextHead(edit, manifest, snapshot);
    const written = await writeConfirmed(
      this.store,
      HEAD_KEY,
      head,
      snapshot?.storeVersion,
      value => headSchema.parse(value).writeIds.includes(edit.writeId),
    );
    return written.map(() => head);
  }

  /** Writes a content object unless it is there already. */
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
        `nothing was accepted: ${created.val.message}`,
      ),
    );
  }
}

/** Reads the manifest and chunks of a head through any reader. */
export async function assembleRevision(
  head: CatalogueHead,
  read: ContentReader,
): Promise<Result<CatalogueRevision, StoreError>> {
  const manifestValue = await read(head.manifest);
  if (!manifestValue.ok) return manifestValue;
  const manifest = manifestSchema.parse(manifestValue.val);
  const values: unknown[] = [];
  for (const digest of manifest.chunks) {
    const value = await read(digest);
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
