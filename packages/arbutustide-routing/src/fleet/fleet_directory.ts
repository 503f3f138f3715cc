import type {UpstreamDescription} from './fleet_upstream.js';

import {FleetUpstream, UpstreamState} from './fleet_upstream.js';

/** All upstreams this node knows, by service. */
export class FleetDirectory {
  private readonly byId = new Map<string, FleetUpstream>();
  private readonly byService = new Map<string, Set<FleetUpstream>>();
  private readonly listeners = new Set<() => void>();

  /** Calls back after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  get(id: string): FleetUpstream | undefined {
    return this.byId.get(id);
  }

  all(): Iterable<FleetUpstream> {
    return this.byId.values();
  }

  /** Upstreams of a service, leaving ones included. */
  ofService(service: string): Iterable<FleetUpstream> {
    return this.byService.get(service) ?? [];
  }

  /** Adds an upstream, or takes a newer description of it. */
  put(description: UpstreamDescription): void {
    const known = this.byId.get(description.id);
    const isSameProcess =
      known?.description.startedAt === description.startedAt &&
      known.description.address === description.address;
    if (known && isSameProcess) known.updateDescription(description);
    else this.replaceUpstream(known, new FleetUpstream(description));
    this.changed();
  }

  /** An upstream that is gone from the list takes nothing new. */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    known.updateDescription({
      ...known.description,
      state: UpstreamState.LEAVING,
    });
    this.byId.delete(id);
    this.byService.get(known.description.service)?.delete(known);
    this.changed();
  }

  /** Tells listeners that something in an upstream has changed. */
  changed(): void {
    for (const listener of this.listeners) listener();
  }

  private replaceUpstream(
    known: FleetUpstream | undefined,
    next: FleetUpstream,
  ): void {
    if (known) this.remove(known.id);
    this.byId.set(next.id, next);
    const {service} = next.description;
    const group = this.byService.get(service) ?? new Set();
    group.add(next);
    this.byService.set(service, group);
  }
}
