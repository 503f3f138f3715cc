/**
 * Guards against a catalogue that changes while it is split into chunks and
 * joined again, a node that returns to a lower revision when heads arrive out
 * of order, and an edit that is accepted although its entries are inconsistent
 * or do not fit on the workers.
 */
import type {CatalogueDocument} from '../../index.js';

import {expect} from 'chai';
import fc from 'fast-check';

import {
  CatalogueHolder,
  CatalogueRevision,
  catalogueSchema,
  checkCapacity,
  diffCatalogues,
  joinDocument,
  splitDocument,
  validateCatalogue,
} from '../../index.js';

const RUNS = 1_000;
const SEED = 20_261_203;

const REQUEST_CLASS = {
  name: 'interactive',
  deadlineMilliseconds: 1_000,
  firstTokenMilliseconds: 100,
  progressMilliseconds: 500,
  priority: 1,
};
const COMMON_ENTRY_FIELDS = {owner: 'quality', class: 'interactive'};

function createDocument(entries: readonly object[]): CatalogueDocument {
  return catalogueSchema.parse({classes: [REQUEST_CLASS], entries});
}

function createModelEntry(name: string, memoryBytes = 10): object {
  return {...COMMON_ENTRY_FIELDS, name, kind: 'model', memoryBytes};
}

const documents = fc
  .uniqueArray(fc.stringMatching(/^[a-z][a-z0-9-]{0,8}$/), {
    maxLength: 200,
    size: 'max',
  })
  .map(names => createDocument(names.map(name => createModelEntry(name))));

describe('catalogue', () => {
  it('is unchanged after it is split into chunks and joined', () => {
    fc.assert(
      fc.property(documents, document => {
        const values = splitDocument(document).map(({value}) => value);
        const changes = [...diffCatalogues(document, joinDocument(values))];
        expect(changes).to.deep.equal([]);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('never activates a lower revision, in whatever order they arrive', () => {
    const offers = fc.array(fc.integer({min: 1, max: 20}), {
      maxLength: 40,
      size: 'max',
    });
    fc.assert(
      fc.property(offers, revisions => {
        const holder = new CatalogueHolder();
        const seen: number[] = [];
        holder.onRevision(({revision}) => seen.push(revision));
        for (const revision of revisions) {
          const head = {revision, manifest: '', writeIds: []};
          holder.activate(
            head,
            new CatalogueRevision(revision, createDocument([])),
          );
        }
        const sorted = [...new Set(seen)].sort((left, right) => left - right);
        expect(seen).to.deep.equal(sorted);
        expect(holder.revision).to.equal(Math.max(0, ...revisions));
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('reports inconsistencies between entries', () => {
    const problems = validateCatalogue(
      createDocument([
        createModelEntry('writer'),
        createModelEntry('writer'),
        {
          ...COMMON_ENTRY_FIELDS,
          name: 'orphan',
          kind: 'adapter',
          base: 'nothing',
        },
        {
          ...COMMON_ENTRY_FIELDS,
          name: 'release',
          kind: 'service',
          class: 'unknown',
        },
      ]),
    );
    expect(problems).to.have.length(4);
    expect(problems[0]).to.contain('"writer" is not unique');
    expect(problems[1]).to.contain('allowed: interactive');
    expect(problems[2]).to.contain('the name of a model entry');
    expect(problems[3]).to.contain('host_group: required for a service');
  });

  it('rejects models that do not fit on all workers together', () => {
    const workers = [{upstreamId: 'a', memoryBytes: 25}];
    const fitting = createDocument([
      createModelEntry('one'),
      createModelEntry('two'),
    ]);
    const oversized = createDocument([
      createModelEntry('one'),
      createModelEntry('two'),
      createModelEntry('three'),
    ]);
    expect(checkCapacity(fitting, workers)).to.deep.equal([]);
    expect(checkCapacity(oversized, workers)[0]).to.contain('need 30 bytes');
  });
});
