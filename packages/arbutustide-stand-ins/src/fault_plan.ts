/** How a stand-in misbehaves. */
export enum FaultKind {
  /** The call is refused and has no effect. */
  REFUSE = 'refuse',
  /** The call is answered late. */
  DELAY = 'delay',
  /** The call has its effect, but the reply is lost. */
  LOSE_REPLY = 'lose_reply',
  /** The call is never answered and has no effect. */
  FREEZE = 'freeze',
}

/** One order to misbehave. */
export interface FaultRule {
  readonly kind: FaultKind;
  /** Operations whose name starts with this; empty for all. */
  readonly operation: string;
  /** Calls the rule still applies to; `Infinity` until cleared. */
  readonly calls: number;
  readonly delayMilliseconds: number;
}

/** The orders to misbehave that a stand-in was given. */
export class FaultPlan {
  private rules: FaultRule[] = [];

  /** Adds an order. */
  add(rule: Partial<FaultRule> & Pick<FaultRule, 'kind'>): void {
    this.rules.push({
      operation: '',
      calls: Infinity,
      delayMilliseconds: 0,
      ...rule,
    });
  }

  /** Forgets all orders. */
  clear(): void {
    this.rules = [];
  }

  /** The order that applies to a call, counted as used. */
  take(operation: string): FaultRule | undefined {
    const index = this.rules.findIndex(rule =>
      operation.startsWith(rule.operation),
    );
    if (index < 0) return undefined;
    const rule = this.rules[index];
    if (rule.calls > 1) this.rules[index] = {...rule, calls: rule.calls - 1};
    else this.rules.splice(index, 1);
    return rule;
  }
}
