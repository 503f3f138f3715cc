import type {NodeLogger} from '@arbutustide/telemetry';

import type {NodeSignal} from './signal_buffer.js';

import {ExitCode} from './exit_code.js';

/** A started node, as far as signals concern it. */
export interface SignalledNode {
  readonly logger: Pick<NodeLogger, 'info' | 'warn' | 'error'>;
  stop(): Promise<void>;
  /** Absent if there is nothing that a running node could reload. */
  reload?(): void;
}

/** Runs a node and does what the signals to its process ask for. */
export class NodeLifecycle {
  private node: SignalledNode | undefined;
  private stopSignal: NodeSignal | undefined;
  private isReloadDue = false;

  private readonly handlers: Readonly<Record<NodeSignal, () => void>> = {
    SIGTERM: () => this.requestStop('SIGTERM'),
    SIGINT: () => {
      if (this.stopSignal) this.exitWithoutDraining();
      else this.requestStop('SIGINT');
    },
    SIGHUP: () => this.requestReload(),
  };

  /** @param exit ends the process. */
  constructor(private readonly exit: (exitCode: ExitCode) => void) {}

  /** Acts on a signal, or remembers it while the node starts. */
  receive(signal: NodeSignal): void {
    this.handlers[signal]();
  }

  /** Starts the node, unless a signal has asked to stop it already. */
  async run(start: () => Promise<SignalledNode>): Promise<void> {
    if (this.stopSignal) {
      this.exit(ExitCode.SUCCESS);
      return;
    }
    const node = await start();
    this.node = node;
    if (this.isReloadDue) reload(node);
    if (this.stopSignal) await this.stop(node);
  }

  private requestStop(signal: NodeSignal): void {
    if (this.stopSignal) {
      this.node?.logger.info({signal}, 'the node is stopping already');
      return;
    }
    this.stopSignal = signal;
    if (this.node) void this.stop(this.node);
  }

  private requestReload(): void {
    if (this.node) reload(this.node);
    else this.isReloadDue = true;
  }

  private async stop(node: SignalledNode): Promise<void> {
    try {
      await node.stop();
      this.exit(ExitCode.SUCCESS);
    } catch (error) {
      node.logger.error({err: error}, 'the stop failed');
      this.exit(ExitCode.INTERNAL);
    }
  }

  private exitWithoutDraining(): void {
    this.node?.logger.warn(
      {signal: 'SIGINT'},
      'exiting without draining after a second stop signal',
    );
    this.exit(ExitCode.INTERNAL);
  }
}

function reload(node: SignalledNode): void {
  if (node.reload) node.reload();
  else node.logger.info('settings apply at the next start; nothing reloaded');
}
