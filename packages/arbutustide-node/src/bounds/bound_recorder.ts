import type {NodeLogger, NodeMetrics} from '@arbutustide/telemetry';

/** Servers of a process. */
export enum ServerName {
  CALLERS = 'callers',
  READINESS = 'readiness',
  CONTROL = 'control',
  PEERS = 'peers',
}

/** Bounds that a caller can meet. */
export enum BoundName {
  CONNECTIONS = 'connections',
  REQUESTS_PER_CONNECTION = 'requests_per_connection',
  REQUESTS = 'requests',
  BODY_LENGTH = 'body_length',
  BODY_BYTES = 'body_bytes',
  BODY_TIMEOUT = 'body_timeout',
  UNREAD_BYTES = 'unread_bytes',
}

/** Each bound of a server is logged once in this time, with a count. */
const LOG_INTERVAL_MILLISECONDS = 10_000;

interface LoggedBound {
  loggedAtMilliseconds: number;
  unloggedCount: number;
}

/** Counts and logs what a process refuses or closes because of its bounds. */
export class BoundRecorder {
  private readonly logged = new Map<string, LoggedBound>();

  constructor(
    private readonly metrics: Pick<NodeMetrics, 'boundsReached'>,
    private readonly logger: Pick<NodeLogger, 'warn'>,
  ) {}

  /** Records that a caller of the server has reached the bound. */
  record(server: ServerName, bound: BoundName): void {
    this.metrics.boundsReached.inc({server, bound});
    const key = `${server} ${bound}`;
    const last = this.logged.get(key);
    const now = performance.now();
    if (last && now - last.loggedAtMilliseconds < LOG_INTERVAL_MILLISECONDS) {
      last.unloggedCount += 1;
      return;
    }
    const count = 1 + (last?.unloggedCount ?? 0);
    this.logged.set(key, {loggedAtMilliseconds: now, unloggedCount: 0});
    this.logger.warn({server, bound, count}, 'callers reached a bound');
  }
}
