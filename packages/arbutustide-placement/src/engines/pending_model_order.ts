import {OrderKind} from '@arbutustide/upstream';

/** An order for a model that is queued or was sent and has no answer yet. */
export interface PendingModelOrder {
  readonly kind: OrderKind;
  readonly model: string;
}

/** The model that an engine is being ordered to load, if it is. */
export function orderedModel(
  order: PendingModelOrder | undefined,
): string | undefined {
  return order?.kind === OrderKind.LOAD ? order.model : undefined;
}
