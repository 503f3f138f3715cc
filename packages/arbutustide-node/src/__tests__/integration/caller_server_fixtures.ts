import type {CallerRequest} from '@arbutustide/routing';

import type {NodeCore} from '../../node_core.js';
import type {NodeDependencies} from '../../node_dependencies.js';

import {
  CatalogueRevision,
  catalogueSchema,
  EntryKind,
} from '@arbutustide/catalogue';
import {NodeMetrics, silentLogger} from '@arbutustide/telemetry';

import {CallerServer} from '../../caller_server.js';

/** Takes the place of the dispatcher. */
export type Dispatch = (request: CallerRequest) => Promise<unknown>;

/** Creates a server with one service, `lookup`, that is idempotent. */
export function createCallerServer(
  deadlineMilliseconds: number,
  dispatch: Dispatch,
): CallerServer {
  const core = {
    isLeaving: false,
    catalogueHolder: {current: createCatalogue(deadlineMilliseconds)},
    dispatcher: {dispatch},
  };
  const dependencies = {
    settings: {
      callers: {
        headerLimitBytes: 16_384,
        headerTimeoutMilliseconds: 5_000,
        bodyLimitBytes: 1_024,
        bodyTimeoutMilliseconds: 5_000,
      },
    },
    logger: silentLogger(),
    metrics: new NodeMetrics(),
  };
  return new CallerServer(
    core as unknown as NodeCore,
    dependencies as unknown as NodeDependencies,
  );
}

function createCatalogue(deadlineMilliseconds: number): CatalogueRevision {
  const document = catalogueSchema.parse({
    classes: [
      {
        name: 'class',
        deadlineMilliseconds,
        firstTokenMilliseconds: 1_000,
        progressMilliseconds: 1_000,
        priority: 1,
      },
    ],
    entries: [
      {
        name: 'lookup',
        kind: EntryKind.SERVICE,
        owner: 'owner',
        class: 'class',
        hostGroup: 'group',
        idempotent: true,
      },
    ],
  });
  return new CatalogueRevision(1, document);
}
