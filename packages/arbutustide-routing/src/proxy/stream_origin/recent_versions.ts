import type {ProxyUpstream} from '../proxy_upstream.js';

/** Lists the versions of the upstreams of each service. */
export function listVersions(
  upstreams: Iterable<ProxyUpstream>,
): Map<string, Set<string>> {
  const listed = new Map<string, Set<string>>();
  for (const {description} of upstreams) {
    const {service, softwareVersion} = description;
    const versions = listed.get(service) ?? new Set();
    listed.set(service, versions.add(softwareVersion));
  }
  return listed;
}

/** Versions of the software of each service's upstreams, also of former ones. */
export class RecentVersions {
  /** When each version was last seen, by service and version. */
  private readonly seenAtByService = new Map<string, Map<string, number>>();

  /** @param retentionMilliseconds longest time that a stream may last. */
  constructor(private readonly retentionMilliseconds: () => number) {}

  /**
   * Records the versions of the upstreams that are listed now.
   *
   * @return services that have several versions from now on.
   */
  update(upstreams: Iterable<ProxyUpstream>): string[] {
    return [...listVersions(upstreams)]
      .filter(([service, versions]) => this.record(service, versions))
      .map(([service]) => service);
  }

  /**
   * Records versions that a service has now, or may have had.
   *
   * @return whether the service has several versions from now on.
   */
  record(service: string, softwareVersions: Iterable<string>): boolean {
    const now = performance.now();
    const countBefore = this.versionsOf(service).size;
    const seenAt = this.seenAtByService.get(service) ?? new Map();
    for (const version of softwareVersions) seenAt.set(version, now);
    this.seenAtByService.set(service, seenAt);
    return countBefore <= 1 && this.versionsOf(service).size > 1;
  }

  /** Versions that a stream which goes on now may have begun at. */
  versionsOf(service: string): ReadonlySet<string> {
    const seenAt = this.seenAtByService.get(service);
    const oldest = performance.now() - this.retentionMilliseconds();
    const versions = new Set<string>();
    for (const [version, at] of seenAt ?? []) {
      if (at >= oldest) versions.add(version);
      else seenAt?.delete(version);
    }
    return versions;
  }
}
