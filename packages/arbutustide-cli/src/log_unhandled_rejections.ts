import type {NodeLogger} from '@arbutustide/telemetry';

/** Emits the event that Node.js raises for a rejection without a handler. */
export interface RejectionEmitter {
  on(event: 'unhandledRejection', listener: (reason: unknown) => void): unknown;
}

/**
 * Logs rejected promises that nothing handles. By default they end the process,
 * and with it all requests in flight, for what concerns one of them.
 */
export function logUnhandledRejections(
  logger: Pick<NodeLogger, 'error'>,
  emitter: RejectionEmitter,
): void {
  emitter.on('unhandledRejection', reason => {
    logger.error({err: reason}, 'a rejected promise was not handled');
  });
}
