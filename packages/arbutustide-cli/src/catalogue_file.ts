import type {CatalogueDocument, WorkerCapacity} from '@arbutustide/catalogue';
import type {ObjectStore} from '@arbutustide/object-store';

import {readFileSync} from 'node:fs';

import {
  catalogueSchema,
  checkCapacity,
  validateCatalogue,
} from '@arbutustide/catalogue';
import {LedgerStore} from '@arbutustide/placement';
import {formatTomlDocument, parseTomlDocument} from '@arbutustide/settings';

import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';

/** Reads a catalogue file and validates what can be checked offline. */
export function readCatalogueFile(file: string): CatalogueDocument {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const {code} = error as NodeJS.ErrnoException;
    throw invalidDocument([
      `${file}: cannot be read: ${code ?? String(error)}`,
    ]);
  }
  const document = parseTomlDocument(text, file, catalogueSchema);
  if (!document.ok) throw invalidDocument([document.val.message]);
  const problems = validateCatalogue(document.val);
  if (problems.length > 0) {
    throw invalidDocument(problems.map(problem => `${file}: ${problem}`));
  }
  return document.val;
}

/**
 * Checks that a catalogue fits into the workers in the ledger. Skipped if the
 * ledger cannot be read.
 */
export async function checkCatalogueFits(
  document: CatalogueDocument,
  file: string,
  store: ObjectStore,
): Promise<void> {
  const workers = await new LedgerStore(store).readAll();
  if (!workers.ok) return;
  const capacities: WorkerCapacity[] = workers.val.map(({record}) => ({
    upstreamId: record.upstreamId,
    memoryBytes: record.memoryBytes,
  }));
  const problems = checkCapacity(document, capacities);
  if (problems.length > 0) {
    throw invalidDocument(problems.map(problem => `${file}: ${problem}`));
  }
}

/** Formats a catalogue as a file to edit, including its base revision. */
export function formatCatalogue(
  document: CatalogueDocument,
  revision: number,
): string {
  return formatTomlDocument({...document, baseRevision: revision});
}

function invalidDocument(problems: readonly string[]): CommandError {
  return new CommandError(ExitCode.INVALID_DOCUMENT, problems.join('\n'));
}
