import type {ClusterNode} from '@arbutustide/membership';
import type {
  BrittleServices,
  BrittleTerms,
  ProxyUpstream,
} from '@arbutustide/routing';

import {NodeState, selectByRendezvousHash} from '@arbutustide/membership';
import {
  createBrittleTerms,
  GATEKEEPERS_PER_UPSTREAM,
} from '@arbutustide/routing';

/** How long a choice of gatekeepers is used before it is made anew. */
const CHOICE_MILLISECONDS = 500;

interface GatekeeperChoice {
  readonly identities: ReadonlySet<string>;
  readonly atMilliseconds: number;
}

/** Connection of `BrittleUpstreams` to its node. */
export interface BrittleUpstreamsOptions {
  /** Identity of this node's process. */
  readonly identity: string;
  readonly listNodes: () => readonly ClusterNode[];
  readonly services: BrittleServices;
  /** Returns a uniformly distributed number in [0, 1). */
  readonly random: () => number;
}

/** Which nodes send requests to brittle upstreams, and how many. */
export class BrittleUpstreams {
  private readonly choices = new WeakMap<ProxyUpstream, GatekeeperChoice>();

  constructor(private readonly options: BrittleUpstreamsOptions) {}

  /** Undefined unless the service's upstreams are brittle. */
  termsFor(service: string): BrittleTerms | undefined {
    const {services, listNodes, random} = this.options;
    const survived = services.rejectionsPerSecond(service);
    if (survived === undefined) return undefined;
    return createBrittleTerms(survived, listNodes().length, random);
  }

  /**
   * Whether a node may send requests to the upstream.
   *
   * @param node identity of its process; this node if absent.
   */
  maySend(
    upstream: ProxyUpstream,
    terms: BrittleTerms | undefined,
    node = this.options.identity,
  ): boolean {
    return !terms?.isGated || this.gatekeepersOf(upstream).has(node);
  }

  private gatekeepersOf(upstream: ProxyUpstream): ReadonlySet<string> {
    const now = performance.now();
    const known = this.choices.get(upstream);
    if (known && now - known.atMilliseconds < CHOICE_MILLISECONDS)
      return known.identities;
    const {id, description} = upstream;
    const chosen = selectByRendezvousHash(
      `${id}/${description.startedAt}`,
      this.options.listNodes().filter(({state}) => state === NodeState.READY),
      ({peerUrl}) => peerUrl,
      GATEKEEPERS_PER_UPSTREAM,
    );
    const identities = new Set(chosen.map(({identity}) => identity));
    this.choices.set(upstream, {identities, atMilliseconds: now});
    return identities;
  }
}
