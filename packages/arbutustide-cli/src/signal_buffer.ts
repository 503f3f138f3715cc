/** A signal that a node acts on. */
export type NodeSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

/** Emits an event for each signal that the process receives. */
export interface SignalEmitter {
  on(event: NodeSignal, listener: (signal: NodeSignal) => void): unknown;
}

const NODE_SIGNALS: readonly NodeSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/** Catches signals and keeps them until there is a handler for them. */
export class SignalBuffer {
  private readonly pendingSignals: NodeSignal[] = [];
  private handler: ((signal: NodeSignal) => void) | undefined;

  constructor(emitter: SignalEmitter) {
    for (const signal of NODE_SIGNALS)
      emitter.on(signal, () => this.receive(signal));
  }

  /** Calls the handler with the signals kept so far and all later ones. */
  handleWith(handler: (signal: NodeSignal) => void): void {
    this.handler = handler;
    for (const signal of this.pendingSignals.splice(0)) handler(signal);
  }

  private receive(signal: NodeSignal): void {
    if (this.handler) this.handler(signal);
    else this.pendingSignals.push(signal);
  }
}
