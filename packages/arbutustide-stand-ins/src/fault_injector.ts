/** What an injected fault does to a call. */
export enum FaultKind {
  /** The call is answered with status 503 and has no effect. */
  REFUSE = 'refuse',
  /** The call is processed after a delay. */
  DELAY = 'delay',
  /** The call has its effect, but the connection closes without a reply. */
  LOSE_REPLY = 'lose_reply',
  /** The call is never answered and has no effect. */
  FREEZE = 'freeze',
}

/** A fault and the calls that it applies to. */
export interface FaultRule {
  readonly kind: FaultKind;
  /**
   * Prefix of the operations it applies to, as `METHOD /path`; empty for all.
   */
  readonly operation: string;
  /** Number of calls it still applies to; `Infinity` until cleared. */
  readonly calls: number;
  /** Used by {@link FaultKind.DELAY} only. */
  readonly delayMilliseconds: number;
}

/** Selects the fault, if any, that is injected into a call of a stand-in. */
export class FaultInjector {
  private rules: FaultRule[] = [];

  /** Adds a rule; by default it applies to every call until cleared. */
  addRule(rule: Partial<FaultRule> & Pick<FaultRule, 'kind'>): void {
    this.rules.push({
      operation: '',
      calls: Infinity,
      delayMilliseconds: 0,
      ...rule,
    });
  }

  clearRules(): void {
    this.rules = [];
  }

  /** Returns the first rule that matches and counts one call against it. */
  consumeMatchingRule(operation: string): FaultRule | undefined {
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
