/** Guards against a node that takes more work than its event loop can do. */
import type {Arrival} from '../../proxy/overload/arrival_admission.js';
import type {KindOutcome, SimulatedKind} from './simulated_arrivals.js';

import {expect} from 'chai';

import {ArrivalAdmission} from '../../proxy/overload/arrival_admission.js';
import {playArrivals} from './simulated_arrivals.js';

const TARGET_MILLISECONDS = 300;
const PATIENCE_MILLISECONDS = 2_400;
const KINDS: readonly SimulatedKind[] = [0, 1, 2].map(priority => ({
  kind: `priority ${priority}`,
  priority,
  firstByteTargetMilliseconds: TARGET_MILLISECONDS,
  patienceMilliseconds: PATIENCE_MILLISECONDS,
  share: 1 / 3,
}));
const SECONDS = 60;
/** The rest is what refusals cost, and turns that nobody waits for. */
const THROUGHPUT_SHARE = 0.95;
const SEEDS = ['one', 'two', 'three'];

async function play(
  loadAt: (milliseconds: number) => number,
  seed: string,
  hasAdmission = true,
) {
  const load = {kinds: KINDS, loadAt, seconds: SECONDS, seed, hasAdmission};
  const outcomes = await playArrivals(load);
  const kinds = [...outcomes.values()];
  const waits = kinds.flatMap(kind => kind.waits).sort((a, b) => a - b);
  const arrived = kinds.reduce((sum, kind) => sum + kind.arrived, 0);
  return {outcomes, kinds, waits, arrived, served: waits.length};
}

function countOnTime(waits: readonly number[]): number {
  return waits.filter(wait => wait <= TARGET_MILLISECONDS).length;
}

for (const seed of SEEDS) {
  describe(`admission of arrivals, seed ${seed}`, () => {
    it('refuses nothing at half of what the loop can do', async () => {
      const {kinds} = await play(() => 0.5, seed);
      expect(kinds.map(({refused}) => refused)).to.eql([0, 0, 0]);
    });

    it('waits a short burst out instead of refusing it', async () => {
      const loadAt = (at: number) => (at % 10_000 < 500 ? 2 : 0.3);
      const {kinds, arrived} = await play(loadAt, seed);
      const refused = kinds.reduce((sum, kind) => sum + kind.refused, 0);
      expect(refused / arrived).to.be.below(0.01);
    });

    for (const load of [1, 2, 4]) {
      describe(`at ${load} times what the loop can do`, () => {
        let played: Awaited<ReturnType<typeof play>>;
        let without: Awaited<ReturnType<typeof play>>;

        before(async () => {
          played = await play(() => load, seed);
          without = await play(() => load, seed, false);
        });

        it('admits hardly any whose callers leave before their turns', () => {
          const {kinds, arrived, served, waits} = played;
          const refused = kinds.reduce((sum, kind) => sum + kind.refused, 0);
          expect(served / (arrived - refused)).to.be.above(0.95);
          expect(waits[Math.floor(served / 2)]).to.be.below(
            TARGET_MILLISECONDS,
          );
        });

        it('keeps urgent requests on time', () => {
          const {waits} = played.outcomes.get('priority 0') as KindOutcome;
          expect(countOnTime(waits) / waits.length).to.be.above(0.95);
        });

        it('starves no priority', () => {
          const {kinds, served, arrived} = played;
          for (const {waits, arrived: own} of kinds)
            expect(waits.length / own).to.be.above((0.25 * served) / arrived);
        });

        it('serves more on time than without it, and hardly fewer', () => {
          expect(countOnTime(played.waits)).to.be.at.least(
            countOnTime(without.waits),
          );
          const least = THROUGHPUT_SHARE * without.served;
          expect(played.served).to.be.at.least(least);
        });
      });
    }
  });
}

describe('admission of an arrival', () => {
  const arrival: Arrival = {
    kind: 'kind',
    priority: 1,
    isContinuation: false,
    firstByteTargetMilliseconds: TARGET_MILLISECONDS,
    remainingMilliseconds: PATIENCE_MILLISECONDS,
    connection: {},
  };
  let waitMilliseconds: number;
  let busyMilliseconds: number;
  let random: number;
  let urgencies: number[];

  function admit(overrides: Partial<Arrival> = {}) {
    const turns = {
      busyMilliseconds,
      expectedWaitMilliseconds: (urgency: number) => {
        urgencies.push(urgency);
        return waitMilliseconds;
      },
    };
    const admission = new ArrivalAdmission({turns, random: () => random});
    return admission.admit({...arrival, ...overrides});
  }

  beforeEach(() => {
    waitMilliseconds = 1_000;
    busyMilliseconds = 60_000;
    random = 0;
    urgencies = [];
  });

  it('tells callers to return when the wait has fallen', () => {
    expect(admit().val).to.equal(850);
    random = 1;
    expect(admit().val).to.equal(850 * 1.25);
    waitMilliseconds = 151;
    expect(admit().val).to.equal(125);
  });

  it('refuses what would wait for longer than its caller does', () => {
    busyMilliseconds = 0;
    expect(admit().ok).to.equal(true);
    expect(admit({remainingMilliseconds: 1_900}).ok).to.equal(false);
  });

  it('refuses nothing that would not wait', () => {
    waitMilliseconds = 0;
    expect(admit({remainingMilliseconds: -1}).ok).to.equal(true);
  });

  it('lets streams go on before new requests of any priority', () => {
    admit({priority: 0});
    admit({isContinuation: true});
    expect(urgencies[1]).to.be.below(urgencies[0]);
  });
});
