/**
 * Guards against sequences of faults, each harmless alone, after which nodes
 * together admit more than a quota allows.
 */
import type {QuotaLoad} from './quota_load.js';

import {install} from '@sinonjs/fake-timers';
import fc from 'fast-check';

import {PAUSED, startQuotaLoad, TEAMS} from './quota_load.js';

const NODE_COUNT = 9;
const SEQUENCES = 12;
/** Few requests each, so that many sequences can be played. */
const SEQUENCE_TEAMS = TEAMS.filter(({name}) => name !== 'large');

enum FaultKind {
  PARTITION = 'partition',
  HEAL = 'heal',
  FREEZE = 'freeze',
  RESTART = 'restart',
  RESTART_ALL = 'restart all',
  LIMITS = 'limits',
  CLOCK = 'clock',
}

/** One event of a sequence, and the time until the next. */
interface Fault {
  readonly kind: FaultKind;
  readonly amount: number;
  readonly milliseconds: number;
  readonly demand: number;
}

type Play = (load: QuotaLoad, amount: number) => void;

describe('quotas of teams under sequences of faults', function () {
  this.timeout(240_000);
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install({toFake: [...PAUSED]});
  });
  afterEach(() => clock.uninstall());

  const plays: Readonly<Record<FaultKind, Play>> = {
    [FaultKind.PARTITION]: ({cluster}, amount) =>
      cluster.partition(({index}) => (index * 7) % (2 + (amount % 3))),
    [FaultKind.HEAL]: ({cluster}) => cluster.partition(() => 0),
    [FaultKind.FREEZE]: ({cluster}, amount) => {
      for (let index = 0; index <= amount % 4; index += 1)
        cluster.freeze(
          cluster.nodes[(amount + index * 2) % NODE_COUNT],
          500 + ((amount * 37) % 9_000),
        );
    },
    [FaultKind.RESTART]: ({cluster}, amount) =>
      cluster.restart([cluster.nodes[amount % NODE_COUNT]]),
    [FaultKind.RESTART_ALL]: ({cluster}) => cluster.restart(cluster.nodes),
    [FaultKind.LIMITS]: (load, amount) => {
      const factor = 0.2 + (amount % 10) / 5;
      load.setTeams(
        SEQUENCE_TEAMS.map(({name, ratePerSecond, burst}) => ({
          name,
          ratePerSecond: ratePerSecond * factor,
          burst: burst * factor,
        })),
      );
    },
    [FaultKind.CLOCK]: (_load, amount) => {
      const step = 100 * (amount - 50);
      clock.setSystemTime(Date.now() + step);
    },
  };

  it('are kept by nine nodes', async () => {
    const fault: fc.Arbitrary<Fault> = fc.record({
      kind: fc.constantFrom(...Object.values(FaultKind)),
      amount: fc.integer({min: 0, max: 100}),
      milliseconds: fc.integer({min: 20, max: 900}).map(tens => tens * 10),
      demand: fc.constantFrom(0, 0.5, 3),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(fault, {minLength: 3, maxLength: 8}),
        async faults => {
          const load = await startQuotaLoad(clock, NODE_COUNT, SEQUENCE_TEAMS);
          await load.run(6_000, 3);
          for (const {kind, amount, milliseconds, demand} of faults) {
            plays[kind](load, amount);
            await load.run(milliseconds, demand);
          }
          await load.run(4_000, 3);
          load.expectRuleKept();
          clock.runAll();
        },
      ),
      {numRuns: SEQUENCES},
    );
  });
});
