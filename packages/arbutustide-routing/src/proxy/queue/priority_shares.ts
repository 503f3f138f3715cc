import type {RoutedRequest} from '../routed_request.js';

import {effectivePriority} from '../routed_request.js';
import {ServedShares} from './served_shares.js';

/** Finds the priorities that are starved at a service by more urgent ones. */
export class PriorityShares {
  private readonly sharesByService = new Map<string, ServedShares<number>>();

  /** Records that a request got a slot, or was refused one. */
  record(request: RoutedRequest, isServed: boolean): void {
    const {service} = request;
    const shares = this.sharesByService.get(service) ?? new ServedShares();
    this.sharesByService.set(service, shares);
    shares.record(effectivePriority(request), isServed);
  }

  /** Whether the requests of this priority are to be served first for now. */
  isFavoured(request: RoutedRequest): boolean {
    const shares = this.sharesByService.get(request.service);
    return shares?.isFavoured(effectivePriority(request)) ?? false;
  }
}
