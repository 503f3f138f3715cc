import type {UpstreamDescription} from './proxy_upstream.js';

import {ProxyUpstream, UpstreamState} from './proxy_upstream.js';

/** Index of all upstreams known to this node, by id and by service. */
export class ProxyUpstreamDirectory {
  private readonly byId = new Map<string, ProxyUpstream>();
  private readonly byService = new Map<string, Set<ProxyUpstream>>();
  private readonly listeners = new Set<() => void>();

  /** Registers a callback that is called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  get(id: string): ProxyUpstream | undefined {
    return this.byId.get(id);
  }

  all(): Iterable<ProxyUpstream> {
    return this.byId.values();
  }

  /** Upstreams of a service, including those that are leaving. */
  listByService(service: string): Iterable<ProxyUpstream> {
    return this.byService.get(service) ?? [];
  }

  /**
   * Adds an upstream or updates its description. A changed address or start
   * time means another process, for which all state is reset.
   */
  upsert(description: UpstreamDescription): void {
    const known = this.byId.get(description.id);
    const isSameProcess =
      known?.description.startedAt === description.startedAt &&
      known.description.address === description.address;
    if (known && isSameProcess) known.updateDescription(description);
    else this.replaceUpstream(known, new ProxyUpstream(description));
    this.notifyListeners();
  }

  /** Removes an upstream and marks it as leaving: it gets no new requests. */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    known.updateDescription({
      ...known.description,
      state: UpstreamState.LEAVING,
    });
    this.byId.delete(id);
    this.byService.get(known.description.service)?.delete(known);
    this.notifyListeners();
  }

  /** Notifies listeners that the state of an upstream has changed. */
  notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }

  private replaceUpstream(
    known: ProxyUpstream | undefined,
    next: ProxyUpstream,
  ): void {
    if (known) this.remove(known.id);
    this.byId.set(next.id, next);
    const {service} = next.description;
    const group = this.byService.get(service) ?? new Set();
    group.add(next);
    this.byService.set(service, group);
  }
}
