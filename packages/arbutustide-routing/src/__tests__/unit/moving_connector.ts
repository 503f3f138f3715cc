import type {
  MemoryCopy,
  MemoryMove,
  MemoryMover,
} from '../../proxy/handover/memory_mover.js';
import type {AttemptOptions} from '../../proxy/proxy_connector.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';
import type {AttemptScript} from './scripted_connector.js';

import {MemoryMoveOutcome} from '../../proxy/handover/memory_mover.js';
import {ScriptedConnector} from './scripted_connector.js';

/** Where the copies of memory are. */
export const MEMORY_LOCATION = 'one:1/handle';

/** A connector whose upstreams move memory as it is told. */
export class MovingConnector extends ScriptedConnector implements MemoryMover {
  readonly terms: AttemptOptions[] = [];
  /** Copies of runs that went on. */
  readonly copies: string[] = [];
  readonly droppedCopies: string[] = [];
  readonly moves: string[] = [];
  copy: (target: ProxyUpstream) => Promise<MemoryCopy> = async () => ({
    location: MEMORY_LOCATION,
  });
  move: () => Promise<MemoryMove> = async () => ({
    outcome: MemoryMoveOutcome.MOVED,
    location: MEMORY_LOCATION,
  });

  constructor(scripts: AttemptScript[]) {
    super(
      scripts.map(script => (upstream, terms) => {
        this.terms.push(terms);
        return script(upstream, terms);
      }),
    );
  }

  copyMemory(
    source: ProxyUpstream,
    target: ProxyUpstream,
  ): Promise<MemoryCopy> {
    this.copies.push(`${source.id} to ${target.id}`);
    return this.copy(target);
  }

  async dropCopy(_source: ProxyUpstream, location: string): Promise<void> {
    this.droppedCopies.push(location);
  }

  moveMemory(
    source: ProxyUpstream,
    target: ProxyUpstream,
  ): Promise<MemoryMove> {
    this.moves.push(`${source.id} to ${target.id}`);
    return this.move();
  }
}
