import type {UpstreamProcess} from './departed_upstreams.js';
import type {UpstreamDescription} from './proxy_upstream.js';

import {DepartedUpstreams, DepartureSource} from './departed_upstreams.js';
import {ProxyUpstream, UpstreamState} from './proxy_upstream.js';

/**
 * How long a removed process is remembered. Its entry may be missing for a while
 * although it runs, for example while the platform's list is not updated.
 */
const REMOVED_RETENTION_MILLISECONDS = 120_000;

type EntryListener = (description: UpstreamDescription) => void;

interface RemovedUpstream {
  readonly upstream: ProxyUpstream;
  readonly removedAtMilliseconds: number;
}

/** Index of all upstreams known to this node, by id and by service. */
export class ProxyUpstreamDirectory {
  private readonly byId = new Map<string, ProxyUpstream>();
  private readonly byService = new Map<string, Set<ProxyUpstream>>();
  /** By id; ordered by the time of removal. */
  private readonly removedById = new Map<string, RemovedUpstream>();
  private readonly listeners = new Set<() => void>();
  private readonly entryListeners = new Set<EntryListener>();
  private readonly departures = new DepartedUpstreams();

  /** Registers a callback that is called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Registers a callback for each entry, also of one that soon leaves again. */
  onEntry(listener: EntryListener): void {
    this.entryListeners.add(listener);
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

  /** Departures that this node saw in answers a short time ago. */
  observedDepartures(): Iterable<UpstreamProcess> {
    return this.departures.recentlyObserved();
  }

  /** Whether this process is known to be leaving or to have left. */
  hasDeparted(process: UpstreamProcess): boolean {
    return this.departures.hasDeparted(process);
  }

  /** Whether this process said that it is leaving. */
  hasAnnouncedDeparture(process: UpstreamProcess): boolean {
    return this.departures.hasAnnounced(process);
  }

  /**
   * Marks an upstream as leaving. It gets no new requests until another process
   * has its place.
   */
  markLeaving({id, startedAt}: UpstreamProcess, source: DepartureSource): void {
    this.departures.record({id, startedAt}, source);
    const known = this.byId.get(id);
    if (!known?.isReady || known.description.startedAt !== startedAt) return;
    known.updateDescription({
      ...known.description,
      state: UpstreamState.LEAVING,
    });
    this.notifyListeners();
  }

  /**
   * Adds an upstream or updates its description. A changed address or start
   * time means another process, for which all state is reset; a process that is
   * listed again keeps its state. One that said that it is leaving stays so,
   * whatever the description says.
   */
  upsert(listed: UpstreamDescription): void {
    for (const listener of this.entryListeners) listener(listed);
    if (listed.state === UpstreamState.LEAVING) {
      this.departures.record(listed, DepartureSource.REPORT);
    } else {
      this.departures.recordListedAgain(listed);
    }
    const description = this.departures.hasAnnounced(listed)
      ? {...listed, state: UpstreamState.LEAVING}
      : listed;
    const known = this.byId.get(description.id);
    if (known && isSameProcess(known, description))
      known.updateDescription(description);
    else this.replaceUpstream(known, this.reviveOrCreate(description));
    this.notifyListeners();
  }

  /** Removes an upstream and marks it as leaving: it gets no new requests. */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    this.departures.record(known.description, DepartureSource.REMOVAL);
    this.detach(known);
    this.removedById.delete(id);
    this.removedById.set(id, {
      upstream: known,
      removedAtMilliseconds: performance.now(),
    });
    this.notifyListeners();
  }

  /** Notifies listeners that the state of an upstream has changed. */
  notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }

  private reviveOrCreate(description: UpstreamDescription): ProxyUpstream {
    const oldestKept = performance.now() - REMOVED_RETENTION_MILLISECONDS;
    for (const [id, {removedAtMilliseconds}] of this.removedById) {
      if (removedAtMilliseconds >= oldestKept) break;
      this.removedById.delete(id);
    }
    const removed = this.removedById.get(description.id)?.upstream;
    if (!removed || !isSameProcess(removed, description))
      return new ProxyUpstream(description);
    this.removedById.delete(description.id);
    removed.updateDescription(description);
    return removed;
  }

  private detach(known: ProxyUpstream): void {
    known.updateDescription({
      ...known.description,
      state: UpstreamState.LEAVING,
    });
    this.byId.delete(known.id);
    this.byService.get(known.description.service)?.delete(known);
  }

  private replaceUpstream(
    known: ProxyUpstream | undefined,
    next: ProxyUpstream,
  ): void {
    if (known) this.detach(known);
    this.byId.set(next.id, next);
    const {service} = next.description;
    const group = this.byService.get(service) ?? new Set();
    group.add(next);
    this.byService.set(service, group);
  }
}

function isSameProcess(
  {description: known}: ProxyUpstream,
  {startedAt, address}: UpstreamDescription,
): boolean {
  return known.startedAt === startedAt && known.address === address;
}
