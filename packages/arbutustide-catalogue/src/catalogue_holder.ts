import type {CatalogueRevision} from './catalogue_revision.js';
import type {CatalogueHead} from './stored_catalogue.js';

/** Called after a higher revision became active. */
export type RevisionListener = (revision: CatalogueRevision) => void;

/** Holds the active catalogue of one node; its revision never decreases. */
export class CatalogueHolder {
  private currentRevision: CatalogueRevision | undefined;
  private currentHead: CatalogueHead | undefined;
  private readonly listeners: RevisionListener[] = [];

  /** The active catalogue, or undefined before the first. */
  get current(): CatalogueRevision | undefined {
    return this.currentRevision;
  }

  /** The head of the active catalogue, or undefined before the first. */
  get head(): CatalogueHead | undefined {
    return this.currentHead;
  }

  /** The active revision, or zero before the first. */
  get revision(): number {
    return this.currentRevision?.revision ?? 0;
  }

  /** Registers a listener for future revisions. */
  onRevision(listener: RevisionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Activates a catalogue if its revision is higher than the active one.
   *
   * @return whether it was activated.
   */
  activate(head: CatalogueHead, revision: CatalogueRevision): boolean {
    if (revision.revision <= this.revision) return false;
    this.currentRevision = revision;
    this.currentHead = head;
    for (const listener of this.listeners) listener(revision);
    return true;
  }
}
