import type {Gossip} from '@arbutustide/membership';
import type {UpstreamDirectory} from '@arbutustide/routing';
import type {NodeLogger} from '@arbutustide/telemetry';
import type {HostList, PlatformHost} from '@arbutustide/upstream';

import {delay} from '@arbutustide/errors';
import {HostKind} from '@arbutustide/upstream';

/**
 * Polls the platform's host list and applies it to the upstream directory and
 * to the peers that gossip may contact.
 */
export class HostWatcher {
  private latestHosts: readonly PlatformHost[] = [];

  constructor(
    private readonly hostList: HostList,
    private readonly directory: UpstreamDirectory,
    private readonly gossip: Gossip,
    private readonly logger: NodeLogger,
    private readonly intervalMilliseconds: number,
  ) {}

  /** Hosts of one kind in the latest list. */
  hostsOfKind(kind: HostKind): PlatformHost[] {
    return this.latestHosts.filter(host => host.kind === kind);
  }

  /** Refreshes the list at each interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      await delay(this.intervalMilliseconds, signal);
    }
  }

  /**
   * Fetches the list once. If the call fails or the list is empty, the previous
   * list stays in use.
   */
  async refresh(): Promise<void> {
    const hosts = await this.hostList.fetchHosts();
    if (!hosts.ok) {
      this.logger.warn(
        {reason: hosts.val.message},
        'could not fetch the host list; keeping the previous one',
      );
      return;
    }
    if (hosts.val.length === 0) {
      this.logger.warn('the host list is empty; keeping the previous one');
      return;
    }
    this.latestHosts = hosts.val;
    this.directory.applyHosts(hosts.val);
    const peers = this.hostsOfKind(HostKind.ENTRY_NODE);
    this.gossip.setListedPeers(
      peers.map(({url, failureDomain}) => ({url, failureDomain})),
    );
  }
}
