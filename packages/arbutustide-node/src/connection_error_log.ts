import type {NodeLogger} from '@arbutustide/telemetry';

/** Returns a callback that logs failed connections to peers. */
export function createConnectionErrorLog(
  logger: NodeLogger,
): (peerUrl: string, error: Error) => void {
  return (peerUrl, {message}) => {
    logger.info(
      {peerUrl, reason: message},
      'a connection to a peer has failed',
    );
  };
}
