import type {NodeCore} from '@arbutustide/node';

import type {SimulatedProcess} from './simulated_process.js';

import {delay} from '@arbutustide/errors';

/** How long a stopping node still takes new work. */
const LISTEN_WHILE_LEAVING_MILLISECONDS = 3_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** A node inside the test's own process. */
export class SimulatedNode {
  /** Revisions in the order in which they came into force. */
  readonly installedRevisions: number[] = [];
  /** Whether the node still takes requests. */
  isListening = true;
  hasStopped = false;
  requestsInFlight = 0;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    readonly peerUrl: string,
    readonly process: SimulatedProcess,
    readonly core: NodeCore,
  ) {
    core.holder.onRevision(({revision}) =>
      this.installedRevisions.push(revision),
    );
  }

  /** Stops as the daemon does on a signal: no request is cut off. */
  async stop(): Promise<void> {
    await this.core.announceLeaving();
    await delay(LISTEN_WHILE_LEAVING_MILLISECONDS);
    this.isListening = false;
    while (this.requestsInFlight > 0) await delay(POLL_INTERVAL_MILLISECONDS);
    await this.core.stop();
    this.hasStopped = true;
    this.process.kill();
  }
}
