import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';

import type {AuthenticatedCaller} from './caller_authentication.js';

import {EntryKind} from '@arbutustide/catalogue';

import {canUseEntry} from './caller_authentication.js';

/** A model in the format of OpenAI's model list. */
export interface ListedModel {
  readonly id: string;
  readonly object: 'model';
  /**
   * Seconds since 1970 in OpenAI's format; always 0, because the catalogue does
   * not store when a model was created.
   */
  readonly created: 0;
  readonly owned_by: string;
}

/** Lists the models and adapters that the caller is allowed to use. */
export function listModels(
  catalogue: CatalogueRevision,
  caller: AuthenticatedCaller,
): ListedModel[] {
  return catalogue.document.entries
    .filter(entry => entry.kind !== EntryKind.SERVICE)
    .filter(entry => canUseEntry(caller, entry.name))
    .map(toListedModel);
}

function toListedModel(entry: CatalogueEntry): ListedModel {
  return {
    id: entry.name,
    object: 'model',
    created: 0,
    owned_by: entry.owner,
  };
}
