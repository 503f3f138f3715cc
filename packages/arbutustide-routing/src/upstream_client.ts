import type {
  AttemptError,
  AttemptRequest,
  AttemptResult,
} from '@arbutustide/upstream';
import type {Result} from 'ts-results';

import type {Upstream} from './upstream.js';
import type {UpstreamConnector} from './upstream_connector.js';

import {AttemptState, HostKind} from '@arbutustide/upstream';
import {Ok} from 'ts-results';

/** Operations of an attempt on an upstream, independent of its kind. */
export interface UpstreamClient {
  attempt(request: AttemptRequest): AttemptResult;
  /** Resumes a broken stream; undefined if the kind cannot resume. */
  readonly resume:
    | ((request: AttemptRequest, lastEventId: string) => AttemptResult)
    | undefined;
  /** Reads the id of the running instance over a new connection. */
  readInstanceId(): Promise<Result<string, AttemptError>>;
  /** Reads the state of an attempt over a new connection. */
  attemptState(attemptId: string): Promise<Result<AttemptState, AttemptError>>;
  /** Makes later requests use new connections. */
  renewConnections(): void;
  /** Statuses that mean that the upstream did not run the request. */
  readonly notRunStatuses: ReadonlySet<number>;
}

type UpstreamClientFactory = (
  upstream: Upstream,
  connector: UpstreamConnector,
) => UpstreamClient;

const ENGINE_NOT_RUN_STATUSES: ReadonlySet<number> = new Set([404, 429, 503]);
const NO_STATUSES: ReadonlySet<number> = new Set();

const CLIENT_FACTORIES: Readonly<
  Record<HostKind.ENGINE | HostKind.SERVICE, UpstreamClientFactory>
> = {
  [HostKind.ENGINE]: (upstream, connector) => {
    const engine = connector.engine(upstream);
    return {
      attempt: request => engine.sendAttempt(request),
      resume: (request, lastEventId) =>
        engine.resumeStream(request, lastEventId),
      readInstanceId: async () =>
        (await engine.fetchReport()).map(({engineStart}) => engineStart),
      attemptState: attemptId => engine.fetchAttemptState(attemptId),
      renewConnections: () => engine.renewConnections(),
      notRunStatuses: ENGINE_NOT_RUN_STATUSES,
    };
  },
  [HostKind.SERVICE]: (upstream, connector) => {
    const service = connector.service(upstream);
    return {
      attempt: request => service.sendAttempt(request),
      resume: undefined,
      readInstanceId: async () =>
        (await service.fetchReport()).map(({serviceStart}) => serviceStart),
      attemptState: async () => Ok(AttemptState.RUNNING),
      renewConnections: () => service.renewConnections(),
      notRunStatuses: NO_STATUSES,
    };
  },
};

/** Creates the client for an upstream of any kind. */
export function createUpstreamClient(
  upstream: Upstream,
  connector: UpstreamConnector,
): UpstreamClient {
  const kind =
    upstream.kind === HostKind.SERVICE ? HostKind.SERVICE : HostKind.ENGINE;
  return CLIENT_FACTORIES[kind](upstream, connector);
}
