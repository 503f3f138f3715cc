import type {ErrorKind} from '@arbutustide/errors';

import type {Fault, Step} from '../world/fault.js';
import type {RequestEnd} from '../world/simulated_caller.js';

/**
 * Fields of each kind of statement. Kinds, fields and enum values are those
 * that the rules of `scenario.pegjs` return.
 */
export interface StatementFieldsByKind {
  readonly world: {readonly seed: number};
  readonly engine: {
    readonly id: string;
    readonly domain: string;
    readonly gigabytes: number;
    readonly checksFencing: boolean;
  };
  readonly pass: {readonly milliseconds: number};
  readonly node: {readonly node: string; readonly action: NodeAction};
  readonly upstream: {
    readonly upstream: string;
    readonly action: UpstreamAction;
  };
  readonly armed: {readonly step: Step; readonly fault: Fault};
  readonly store: {
    readonly state: 'down' | 'slow';
    readonly milliseconds: number;
  };
  readonly cut: {readonly left: string; readonly right: string};
  readonly cutOneWay: {readonly from: string; readonly to: string};
  readonly heal: object;
  readonly ask: {
    readonly label: string;
    readonly tokens: number;
    readonly entry: string;
    readonly node: string;
    readonly isStream: boolean;
  };
  readonly record: {
    readonly label: string;
    readonly node: string;
    readonly hasOtherBody: boolean;
  };
  readonly crashing: {
    readonly label: string;
    readonly entry: string;
    readonly node: string;
  };
  readonly apply: {readonly version: string};
  readonly race: {readonly versions: readonly [string, string]};
  readonly ran: {readonly label: string; readonly ran: ExecutionExpectation};
  readonly ended: {
    readonly label: string;
    readonly end: RequestEnd;
    readonly refusal?: ErrorKind;
  };
  readonly revision: {readonly revision: number};
  readonly conflict: object;
  readonly probe: object;
  readonly judge: object;
  readonly replicas: {readonly entry: string; readonly count: number};
  readonly noClaim: {readonly label: string};
}

/** An action on a node, by its words in the scenario language. */
export enum NodeAction {
  KILL = 'is killed',
  FREEZE = 'is frozen',
  RESUME = 'goes on',
  STOP = 'is asked to stop',
  START = 'starts again',
}

/** An action on an upstream, by its words in the scenario language. */
export enum UpstreamAction {
  CRASH = 'crashes',
  ANNOUNCE_LEAVING = 'says that it leaves',
  LIST_AS_LEAVING = 'is listed as leaving',
}

/** Expected number of executions of a request, over all its attempts. */
export enum ExecutionExpectation {
  ONCE = 'ran once',
  AT_MOST_ONCE = 'ran at most once',
  AT_MOST_TWICE = 'ran at most twice',
  NEVER = 'did not run',
}

/** The `kind` of a statement. */
export type StatementKind = keyof StatementFieldsByKind;

/** One statement: its kind, its fields and its line in the source. */
export type Statement = {
  readonly [Kind in StatementKind]: StatementFieldsByKind[Kind] & {
    readonly kind: Kind;
    readonly line: number;
  };
}[StatementKind];

/** A parsed scenario; its title names the behaviour that it tests. */
export interface Scenario {
  readonly title: string;
  readonly statements: readonly Statement[];
}
