import type {NodeCore} from '@arbutustide/node';

import type {SimulatedProcess} from './simulated_process.js';

import {delay} from '@arbutustide/errors';

/** How long a leaving node still accepts new requests. */
const LISTEN_WHILE_LEAVING_MILLISECONDS = 3_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** A node that runs in a simulated process. */
export class SimulatedNode {
  /** Catalogue revisions in the order in which the node installed them. */
  readonly installedRevisions: number[] = [];
  /** Whether the node accepts new requests. */
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
    core.catalogueHolder.onRevision(({revision}) =>
      this.installedRevisions.push(revision),
    );
  }

  /** Stops like the daemon on a signal, after its requests have ended. */
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
