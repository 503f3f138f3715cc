import type {PlatformHost} from '@arbutustide/upstream';

interface PendingChange {
  readonly visibleAtMilliseconds: number;
  readonly hosts: readonly PlatformHost[];
}

/** A host list in which a change becomes visible only after a fixed lag. */
export class LaggedHostList {
  private visibleHosts: readonly PlatformHost[] = [];
  private currentHosts: readonly PlatformHost[] = [];
  private pendingChanges: PendingChange[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /** Adds a host or replaces the one with its id. */
  upsert(host: PlatformHost): void {
    const others = this.currentHosts.filter(known => known.id !== host.id);
    this.scheduleChange([...others, host]);
  }

  /** Removes a host. */
  remove(hostId: string): void {
    this.scheduleChange(this.currentHosts.filter(known => known.id !== hostId));
  }

  /** The hosts whose changes have become visible by now. */
  listVisibleHosts(): readonly PlatformHost[] {
    const now = performance.now();
    while (
      this.pendingChanges[0] &&
      this.pendingChanges[0].visibleAtMilliseconds <= now
    ) {
      this.visibleHosts = this.pendingChanges[0].hosts;
      this.pendingChanges.shift();
    }
    return this.visibleHosts;
  }

  private scheduleChange(hosts: readonly PlatformHost[]): void {
    this.currentHosts = hosts;
    const visibleAtMilliseconds = performance.now() + this.lagMilliseconds;
    this.pendingChanges.push({visibleAtMilliseconds, hosts});
  }
}
