import type {PlatformHost} from '@arbutustide/upstream';

interface PendingChange {
  readonly visibleAtMilliseconds: number;
  readonly hosts: readonly PlatformHost[];
}

/** A host list that shows each change only after its lag. */
export class HostTable {
  private visible: readonly PlatformHost[] = [];
  private actual: readonly PlatformHost[] = [];
  private pending: PendingChange[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /** Adds a host or replaces the one with its id. */
  put(host: PlatformHost): void {
    const others = this.actual.filter(known => known.id !== host.id);
    this.change([...others, host]);
  }

  /** Removes a host. */
  remove(hostId: string): void {
    this.change(this.actual.filter(known => known.id !== hostId));
  }

  /** The list as it is shown now. */
  hosts(): readonly PlatformHost[] {
    const now = performance.now();
    while (this.pending[0] && this.pending[0].visibleAtMilliseconds <= now) {
      this.visible = this.pending[0].hosts;
      this.pending.shift();
    }
    return this.visible;
  }

  private change(hosts: readonly PlatformHost[]): void {
    this.actual = hosts;
    const visibleAtMilliseconds = performance.now() + this.lagMilliseconds;
    this.pending.push({visibleAtMilliseconds, hosts});
  }
}
