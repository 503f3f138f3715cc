/**
 * Plays load on a cluster whose engines crash. Guards against segments that go
 * on crashing engines, and against sound ones that are blamed instead.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {POISON_SEGMENT, requestWith} from './poison_fixtures.js';
import {SimulatedCluster} from './simulated_cluster.js';

describe('poison segments under load', () => {
  const STEP_MILLISECONDS = 20;
  const SEEDS = [
    'one',
    'two',
    'three',
    'four',
    'five',
    'six',
    'seven',
    'eight',
  ];
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });

  afterEach(() => clock.uninstall());

  interface Load {
    readonly nodeCount: number;
    readonly engineCount: number;
    readonly requestsPerSecond: number;
    readonly poisonShare: number;
    /** Crashes a second without a cause in the requests. */
    readonly ownCrashesPerSecond?: number;
    readonly calmMilliseconds?: number;
  }

  function play(seed: string, load: Load): SimulatedCluster {
    const random = seedrandom(seed);
    const {nodeCount, engineCount, calmMilliseconds = 4_000} = load;
    const cluster = new SimulatedCluster(clock, random, nodeCount, engineCount);
    const perStep = (load.requestsPerSecond * STEP_MILLISECONDS) / 1_000;
    const crashShare =
      ((load.ownCrashesPerSecond ?? 0) * STEP_MILLISECONDS) / 1_000;
    for (let elapsed = 0; elapsed < 40_000; elapsed += STEP_MILLISECONDS) {
      let due = Math.floor(perStep + random());
      for (; due > 0; due -= 1) {
        const isPoisoned =
          elapsed >= calmMilliseconds && random() < load.poisonShare;
        cluster.send(isPoisoned);
      }
      if (random() < crashShare)
        cluster.crash(Math.floor(random() * engineCount));
      cluster.step(STEP_MILLISECONDS);
    }
    return cluster;
  }

  const loads: Readonly<Record<string, Load>> = {
    'six nodes, one such request in forty': {
      nodeCount: 6,
      engineCount: 12,
      requestsPerSecond: 65,
      poisonShare: 0.025,
    },
    'one such request in five': {
      nodeCount: 6,
      engineCount: 12,
      requestsPerSecond: 65,
      poisonShare: 0.2,
    },
    'many nodes with few requests each': {
      nodeCount: 40,
      engineCount: 60,
      requestsPerSecond: 80,
      poisonShare: 0.05,
      calmMilliseconds: 12_000,
    },
    'engines that crash on their own as well': {
      nodeCount: 6,
      engineCount: 12,
      requestsPerSecond: 65,
      poisonShare: 0.03,
      ownCrashesPerSecond: 0.5,
    },
  };

  for (const [name, load] of Object.entries(loads)) {
    it(`are blamed alone and in time: ${name}`, () => {
      for (const seed of SEEDS) {
        const cluster = play(seed, load);
        expect([...cluster.blamedSegments], seed).to.eql([POISON_SEGMENT]);
        expect(cluster.poisonRunsAfterFiveCrashes, seed).to.be.at.most(3);
        const blaming = cluster.nodes.filter(node =>
          node.isQuarantined(requestWith(POISON_SEGMENT)),
        );
        expect(blaming.length, seed).to.equal(load.nodeCount);
      }
    });
  }

  it('does not exist where engines crash on their own only', () => {
    for (const seed of SEEDS) {
      const cluster = play(seed, {
        nodeCount: 6,
        engineCount: 12,
        requestsPerSecond: 65,
        poisonShare: 0,
        ownCrashesPerSecond: 1.5,
      });
      expect([...cluster.blamedSegments], seed).to.eql([]);
    }
  });
});
