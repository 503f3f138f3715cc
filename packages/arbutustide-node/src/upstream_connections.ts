import type {Upstream, UpstreamConnector} from '@arbutustide/routing';
import type {
  Engine,
  HttpConnectionOptions,
  PlainService,
  PlatformHost,
} from '@arbutustide/upstream';

import {HttpEngine, HttpPlainService} from '@arbutustide/upstream';

/** Anything that has an id and an address. */
type Addressed = Pick<Upstream | PlatformHost, 'id' | 'url'>;

interface KeptClient<T> {
  readonly url: string;
  readonly client: T;
}

/** Keeps the HTTP connections to each upstream between requests. */
export class HttpUpstreamConnector implements UpstreamConnector {
  private readonly engines = new Map<string, KeptClient<Engine>>();
  private readonly services = new Map<string, KeptClient<PlainService>>();

  constructor(private readonly options: Omit<HttpConnectionOptions, 'url'>) {}

  engine(upstream: Addressed): Engine {
    return keep(
      this.engines,
      upstream,
      url => new HttpEngine({...this.options, url}),
    );
  }

  service(upstream: Addressed): PlainService {
    return keep(
      this.services,
      upstream,
      url => new HttpPlainService({...this.options, url}),
    );
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    const kept = [...this.engines.values(), ...this.services.values()];
    await Promise.all(kept.map(({client}) => client.close()));
  }
}

function keep<T extends {close(): Promise<void>}>(
  clients: Map<string, KeptClient<T>>,
  {id, url}: Addressed,
  create: (url: string) => T,
): T {
  const known = clients.get(id);
  if (known?.url === url) return known.client;
  void known?.client.close();
  const client = create(url);
  clients.set(id, {url, client});
  return client;
}
