import type {Dispatcher} from 'undici';

import {Client} from 'undici';

/** Passed to undici as the `opaque` value of a request. */
export interface WriteGuard {
  /** Throws if the request must not be written now. */
  beforeWrite(): void;
}

/** A connection that writes no request that its guard forbids. */
export class CheckedClient extends Client {
  override dispatch(
    options: Dispatcher.DispatchOptions & {opaque?: unknown},
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const guard = options.opaque as WriteGuard | undefined;
    if (guard) checkBeforeWrite(handler, guard);
    return super.dispatch(options, handler);
  }
}

/**
 * undici calls `onConnect` immediately before it writes a request, and writes
 * nothing if it throws. The handler belongs to this request alone.
 */
function checkBeforeWrite(
  handler: Dispatcher.DispatchHandler,
  guard: WriteGuard,
): void {
  const {onConnect} = handler;
  handler.onConnect = abort => {
    guard.beforeWrite();
    onConnect?.call(handler, abort);
  };
}
