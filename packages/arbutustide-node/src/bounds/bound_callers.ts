import type {Server} from 'node:http';

import type {BoundRecorder} from './bound_recorder.js';
import type {ConnectionBoundsOptions} from './connection_bounds.js';
import type {ProcessBounds} from './process_bounds.js';

import {BodyMemory} from './body_memory.js';
import {BodyReader} from './body_reader.js';
import {ServerName} from './bound_recorder.js';
import {ConnectionBounds} from './connection_bounds.js';
import {boundCallerServer} from './process_bounds.js';

/** Bounds of a server for callers, and where it reports those reached. */
export interface CallerBounds {
  readonly bounds: ProcessBounds;
  readonly recorder: Pick<BoundRecorder, 'record'>;
}

/** What keeps a server for callers within its bounds. */
export interface BoundedCallers {
  readonly connectionBounds: ConnectionBounds;
  readonly bodies: BodyReader;
}

/** Bounds what callers can make a server hold. */
export function boundCallers(
  server: Server,
  {bounds, recorder}: CallerBounds,
  {close, refuse}: Pick<ConnectionBoundsOptions, 'close' | 'refuse'>,
): BoundedCallers {
  const memory = new BodyMemory(bounds.bodyBytes);
  return {
    connectionBounds: new ConnectionBounds(server, {
      name: ServerName.CALLERS,
      bounds: boundCallerServer(bounds),
      recorder,
      close,
      refuse,
    }),
    bodies: new BodyReader(server, memory, recorder),
  };
}
