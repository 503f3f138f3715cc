import type {CatalogueRevision} from './catalogue_revision.js';
import type {CatalogueHead} from './stored_catalogue.js';

/** Called after a higher revision came into force. */
export type RevisionListener = (revision: CatalogueRevision) => void;

/** The catalogue in force on one node. Its revision only grows. */
export class CatalogueHolder {
  private currentRevision: CatalogueRevision | undefined;
  private currentHead: CatalogueHead | undefined;
  private readonly listeners: RevisionListener[] = [];

  /** The catalogue in force, or undefined before the first. */
  get current(): CatalogueRevision | undefined {
    return this.currentRevision;
  }

  /** The head of the catalogue in force. */
  get head(): CatalogueHead | undefined {
    return this.currentHead;
  }

  /** The revision in force; zero before the first. */
  get revision(): number {
    return this.currentRevision?.revision ?? 0;
  }

  /** Registers a listener for revisions to come. */
  onRevision(listener: RevisionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Puts a catalogue in force unless it is no newer than the present one.
   *
   * @return whether it came into force.
   */
  installIfNewer(head: CatalogueHead, revision: CatalogueRevision): boolean {
    if (revision.revision <= this.revision) return false;
    this.currentRevision = revision;
    this.currentHead = head;
    for (const listener of this.listeners) listener(revision);
    return true;
  }
}
