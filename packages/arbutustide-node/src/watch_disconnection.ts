import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {Cancellation} from '@arbutustide/errors';

/**
 * Returns a cancellation that fires when the caller's connection ends before the
 * answer has been sent completely.
 */
export function watchDisconnection(
  socket: Socket,
  response: ServerResponse,
): Cancellation {
  const disconnection = new Cancellation();
  const disconnect = () => {
    if (!response.writableFinished)
      disconnection.cancel('the caller went away');
  };
  // The response closes only after the tasks of this turn of the event loop.
  socket.once('end', disconnect);
  response.once('close', () => {
    socket.off('end', disconnect);
    disconnect();
  });
  return disconnection;
}
