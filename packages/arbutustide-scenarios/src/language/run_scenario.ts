import type {CallerOutcome} from '../world/simulated_caller.js';
import type {SimulatedWorld} from '../world/simulated_world.js';
import type {Scenario, Statement, StatementFieldsByKind} from './statements.js';

import {CLAIM_KEY_PREFIX, claimSchema} from '@arbutustide/claims';
import {invariant} from '@arbutustide/errors';
import {CRASH_PROMPT_MARKER} from '@arbutustide/stand-ins';

import {findViolations} from '../world/invariants.js';
import {SimulatedProcess} from '../world/simulated_process.js';
import {
  createStandardWorld,
  healAndProbe,
  standardCatalogueToml,
  warmUpWorld,
} from '../world/standard_world.js';
import {
  NodeAction,
  ExecutionExpectation,
  UpstreamAction,
} from './statements.js';

const GIGABYTE = 1_000_000_000;

/** A statement that failed: its expectation is not met, or it threw. */
export class ScenarioFailure extends Error {
  constructor(scenario: Scenario, statement: Statement, reason: string) {
    super(`"${scenario.title}", line ${statement.line}: ${reason}`);
    this.name = 'ScenarioFailure';
  }
}

/**
 * Runs a scenario in a simulated world of its own.
 *
 * @throws ScenarioFailure at the first statement that fails.
 */
export async function runScenario(scenario: Scenario): Promise<void> {
  const runner = new ScenarioRunner();
  try {
    for (const statement of scenario.statements) {
      await runner.execute(scenario, statement);
    }
  } finally {
    runner.close();
  }
}

type StatementHandler<Kind extends keyof StatementFieldsByKind> = (
  statement: StatementFieldsByKind[Kind],
) => Promise<void> | void;

type StatementHandlers = {
  readonly [Kind in keyof StatementFieldsByKind]: StatementHandler<Kind>;
};

/** State of one scenario run, and a handler for each kind of statement. */
class ScenarioRunner {
  private currentWorld: SimulatedWorld | undefined;
  /** Every request sent under a label, oldest first. */
  private readonly outcomesByLabel = new Map<string, CallerOutcome[]>();

  private readonly handlers: StatementHandlers = {
    world: async ({seed}) => {
      this.currentWorld = createStandardWorld(seed);
      await warmUpWorld(this.currentWorld);
    },
    engine: ({id, domain, gigabytes, checksFencing}) =>
      this.world.addEngine(id, domain, {
        memoryBytes: gigabytes * GIGABYTE,
        checksFencing,
      }),
    pass: ({milliseconds}) => this.world.advance(milliseconds),
    node: ({node, action}) => this.applyNodeAction(node, action),
    upstream: ({upstream, action}) =>
      this.applyUpstreamAction(upstream, action),
    armed: ({step, fault}) => this.world.network.armFault(step, fault),
    store: ({state, milliseconds}) => {
      const {network} = this.world;
      if (state === 'down') network.takeStoreDown(milliseconds);
      else network.makeStoreSlow(milliseconds);
    },
    cut: ({left, right}) => {
      this.world.network.cutLink(left, right);
      this.world.network.cutLink(right, left);
    },
    cutOneWay: ({from, to}) => this.world.network.cutLink(from, to),
    heal: () => this.world.network.heal(),
    ask: ({label, tokens, entry, node, isStream}) =>
      this.sendRequest(label, node, {
        entry,
        content: label,
        tokenCount: tokens,
        isStream,
      }),
    record: ({label, node, hasOtherBody}) =>
      this.sendRequest(label, node, {
        entry: 'release',
        content: hasOtherBody ? `${label}, changed` : label,
        tokenCount: 0,
        isStream: false,
        idempotencyKey: label,
      }),
    crashing: ({label, entry, node}) =>
      this.sendRequest(label, node, {
        entry,
        content: `${CRASH_PROMPT_MARKER} ${label}`,
        tokenCount: 8,
        isStream: false,
      }),
    apply: ({version}) => {
      void this.world.applyCatalogue(createCatalogueToml(version));
    },
    race: ({versions}) => {
      const base = this.world.acceptedRevision();
      for (const version of versions) {
        const operator = new SimulatedProcess(`operator-${version}`);
        void this.world.applyCatalogue(
          createCatalogueToml(version),
          operator,
          base,
        );
      }
    },
    ran: ({label, ran}) => this.assertExecutionCount(label, ran),
    ended: ({label, end, refusal}) => {
      const outcome = this.lastOutcomeOf(label);
      const actual = `${outcome.end ?? 'unfinished'} ${outcome.refusal?.kind ?? ''}`;
      assertHolds(
        outcome.end === end && outcome.refusal?.kind === refusal,
        `${label} ended ${actual.trim()}`,
      );
    },
    revision: ({revision}) => {
      for (const {name, core} of this.world.liveNodes()) {
        assertHolds(
          core.catalogueHolder.revision === revision,
          `${name} is at revision ${core.catalogueHolder.revision}`,
        );
      }
    },
    conflict: () => {
      const [first, second] = this.world.edits.slice(-2);
      assertHolds(
        first?.isAccepted !== second?.isAccepted,
        `the edits ended ${first?.isAccepted} and ${second?.isAccepted}`,
      );
    },
    probe: () => healAndProbe(this.world),
    judge: () => {
      const violations = findViolations(this.world).map(
        ({invariant: name, evidence}) => `${name}: ${evidence}`,
      );
      assertHolds(violations.length === 0, violations.join('\n'));
    },
    replicas: ({entry, count}) => {
      const holders = [...this.world.engines.values()].filter(
        ({model, isUp}) =>
          isUp &&
          model
            .createReport()
            .resident.some(({item}) => item.startsWith(`${entry}@`)),
      );
      assertHolds(holders.length >= count, `${entry} has ${holders.length}`);
    },
    noClaim: ({label}) => {
      const stored = this.world.objectTable.list(CLAIM_KEY_PREFIX);
      const ids = this.outcomesOf(label).map(({request}) => request.requestId);
      const claims = stored
        .unwrap()
        .objects.map(({value}) => claimSchema.parse(value));
      assertHolds(
        !claims.some(({requestId}) => ids.includes(requestId)),
        `${label} has a claim`,
      );
    },
  };

  /** Runs one statement. */
  async execute(scenario: Scenario, statement: Statement): Promise<void> {
    const handler = this.handlers[statement.kind] as StatementHandler<
      typeof statement.kind
    >;
    try {
      await handler(statement as never);
    } catch (error) {
      throw new ScenarioFailure(
        scenario,
        statement,
        error instanceof Error ? error.message : String(error),
      );
    }
  }

  /** Closes the world, which restores the real clock. */
  close(): void {
    this.currentWorld?.close();
  }

  private get world(): SimulatedWorld {
    invariant(
      this.currentWorld !== undefined,
      'the first statement must be "given the standard world"',
    );
    return this.currentWorld;
  }

  private sendRequest(
    label: string,
    node: string,
    request: Omit<CallerOutcome['request'], 'requestId'>,
  ): void {
    const outcomes = this.outcomesByLabel.get(label) ?? [];
    this.outcomesByLabel.set(label, outcomes);
    const requestId = `${label}.${outcomes.length + 1}`;
    outcomes.push(
      this.world.sendRequest(this.resolveNodeName(node), {
        ...request,
        requestId,
      }),
    );
  }

  /** Maps `planner` to the node that holds the lease of the planner now. */
  private resolveNodeName(name: string): string {
    if (name !== 'planner') return name;
    const planner = this.world.findPlanner();
    invariant(planner !== undefined, "no node holds the planner's lease");
    return planner.name;
  }

  private applyNodeAction(name: string, action: NodeAction): void {
    const node = this.world.getNode(this.resolveNodeName(name));
    const actions: Readonly<Record<NodeAction, () => void>> = {
      [NodeAction.KILL]: () => node.process.kill(),
      [NodeAction.FREEZE]: () => node.process.freeze(),
      [NodeAction.RESUME]: () => node.process.thaw(),
      [NodeAction.STOP]: () => this.world.stopNode(node.name),
      [NodeAction.START]: () => {
        this.world.startNode(node.name, node.failureDomain);
      },
    };
    actions[action]();
  }

  private applyUpstreamAction(upstream: string, action: UpstreamAction): void {
    const actions: Readonly<Record<UpstreamAction, () => void>> = {
      [UpstreamAction.CRASH]: () => this.world.crashEndpoint(upstream),
      [UpstreamAction.ANNOUNCE_LEAVING]: () =>
        this.world.announceLeaving(upstream),
      [UpstreamAction.LIST_AS_LEAVING]: () =>
        this.world.listAsLeaving(upstream),
    };
    actions[action]();
  }

  /** Counts executions over all requests that were sent under a label. */
  private assertExecutionCount(
    label: string,
    expected: ExecutionExpectation,
  ): void {
    const ids = this.outcomesOf(label).map(({request}) => request.requestId);
    const recordsByUpstream = [
      ...[...this.world.services.values()].map(({model}) => model.calls),
      ...[...this.world.engines.values()].map(({model}) => model.runs),
    ];
    const executionCount = recordsByUpstream
      .flat()
      .filter(({requestId}) => ids.includes(requestId)).length;
    const isExpected: Readonly<Record<ExecutionExpectation, boolean>> = {
      [ExecutionExpectation.ONCE]: executionCount === 1,
      [ExecutionExpectation.AT_MOST_ONCE]: executionCount <= 1,
      [ExecutionExpectation.AT_MOST_TWICE]: executionCount <= 2,
      [ExecutionExpectation.NEVER]: executionCount === 0,
    };
    assertHolds(isExpected[expected], `${label} ran ${executionCount} times`);
  }

  private outcomesOf(label: string): readonly CallerOutcome[] {
    const outcomes = this.outcomesByLabel.get(label);
    invariant(
      outcomes !== undefined,
      `no request was sent under the label "${label}"`,
    );
    return outcomes;
  }

  private lastOutcomeOf(label: string): CallerOutcome {
    const last = this.outcomesOf(label).at(-1);
    invariant(
      last !== undefined,
      `no request was sent under the label "${label}"`,
    );
    return last;
  }
}

function createCatalogueToml(version: string): string {
  return standardCatalogueToml({version, hasPowderAdapter: true});
}

function assertHolds(holds: boolean, failureReason: string): void {
  if (!holds) throw new Error(failureReason);
}
