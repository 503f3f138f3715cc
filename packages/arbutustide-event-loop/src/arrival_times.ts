import type {InputMonitor} from './input_monitor.js';

import {inputMonitor} from './input_monitor.js';

/** Tells when the requests of a server's connections can have arrived. */
export class ArrivalTimes {
  /** By connection whose first request has not been read. */
  private readonly openedAfterMilliseconds = new WeakMap<object, number>();

  constructor(private readonly monitor: InputMonitor = inputMonitor) {}

  /** Call it while the connection is being accepted. */
  recordConnection(connection: object): void {
    const openedAfter = this.monitor.recordConnection();
    this.openedAfterMilliseconds.set(connection, openedAfter);
  }

  /**
   * Earliest time at which the request can have arrived that is being read now
   * (monotonic). A first one may have waited with its connection.
   */
  takeArrival(connection: object): number {
    const openedAfter = this.openedAfterMilliseconds.get(connection);
    this.openedAfterMilliseconds.delete(connection);
    return openedAfter ?? this.monitor.arrivedAfterMilliseconds;
  }
}
