import type {CatalogueEntry, CatalogueRevision} from '@arbutustide/catalogue';

import type {AuthenticatedCaller} from './caller_authentication.js';

import {EntryKind} from '@arbutustide/catalogue';

import {canUseEntry} from './caller_authentication.js';

/** One model as OpenAI clients list it. */
export interface ListedModel {
  readonly id: string;
  readonly object: 'model';
  /** Seconds since 1970; the catalogue keeps no such time. */
  readonly created: 0;
  readonly owned_by: string;
}

/** The models and adapters a caller may use. */
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
