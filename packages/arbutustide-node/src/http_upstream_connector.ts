import type {Upstream, UpstreamConnector} from '@arbutustide/routing';
import type {
  Engine,
  UpstreamConnectionOptions,
  PlainService,
  PlatformHost,
} from '@arbutustide/upstream';

import {HttpEngine, HttpPlainService} from '@arbutustide/upstream';

/** The ID and URL of an upstream. */
type UpstreamAddress = Pick<Upstream | PlatformHost, 'id' | 'url'>;

interface CachedClient<T> {
  readonly url: string;
  readonly client: T;
}

/** Caches an HTTP client for each upstream to reuse its connections. */
export class HttpUpstreamConnector implements UpstreamConnector {
  private readonly engineClients = new Map<string, CachedClient<Engine>>();
  private readonly serviceClients = new Map<
    string,
    CachedClient<PlainService>
  >();

  constructor(
    private readonly options: Omit<UpstreamConnectionOptions, 'url'>,
  ) {}

  engine(upstream: UpstreamAddress): Engine {
    return getOrCreateClient(
      this.engineClients,
      upstream,
      url => new HttpEngine({...this.options, url}),
    );
  }

  service(upstream: UpstreamAddress): PlainService {
    return getOrCreateClient(
      this.serviceClients,
      upstream,
      url => new HttpPlainService({...this.options, url}),
    );
  }

  /** Closes the connections of all clients. */
  async close(): Promise<void> {
    const cached = [
      ...this.engineClients.values(),
      ...this.serviceClients.values(),
    ];
    await Promise.all(cached.map(({client}) => client.close()));
  }
}

/**
 * Returns the cached client of an upstream. If the upstream's URL has changed,
 * closes the old client and creates a new one.
 */
function getOrCreateClient<T extends {close(): Promise<void>}>(
  clients: Map<string, CachedClient<T>>,
  {id, url}: UpstreamAddress,
  create: (url: string) => T,
): T {
  const existing = clients.get(id);
  if (existing?.url === url) return existing.client;
  void existing?.client.close();
  const client = create(url);
  clients.set(id, {url, client});
  return client;
}
