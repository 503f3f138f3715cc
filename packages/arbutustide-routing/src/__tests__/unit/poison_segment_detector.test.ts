/**
 * Guards against segments that go on crashing upstreams, and against sound ones
 * that are blamed: those that many requests share, those that are rarely asked
 * for, and all of them while upstreams crash or connections break on their own.
 */
import type {
  PeerCrashEvidence,
  PoisonSegmentDetector,
} from '../../proxy/crash_attribution/poison_segment_detector.js';
import type {UpstreamProcess} from '../../proxy/departed_upstreams.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ProcessState} from '../../proxy/crash_attribution/poison_segment_detector.js';
import {
  createDetector,
  POISON_SEGMENT as POISON,
  requestWith,
} from './poison_fixtures.js';

const SURVIVAL_MILLISECONDS = 500;
const QUARANTINE_MILLISECONDS = 300_000;

function evidenceOf(
  ...peers: readonly PoisonSegmentDetector[]
): PeerCrashEvidence {
  return {
    crashes: peers.flatMap(peer => [...peer.recentCrashes()]),
    survivals: peers.map((peer, index) => ({
      peer: String(index),
      survivals: [...peer.suspectSurvivals()],
    })),
    quarantines: peers.flatMap(peer => [...peer.quarantineDecisions()]),
  };
}

const process = (id: string): UpstreamProcess => ({id, startedAt: 1});

describe('PoisonSegmentDetector', () => {
  let clock: ReturnType<typeof install>;
  let detector: PoisonSegmentDetector;

  beforeEach(() => {
    clock = install();
    detector = createDetector('node');
  });

  afterEach(() => clock.uninstall());

  const isBlamed = (segment: string, by = detector) =>
    by.isQuarantined(requestWith(segment));

  function survive(times: number, ...segments: string[]): void {
    for (let count = 0; count < times; count += 1) {
      detector
        .observe(requestWith(...segments), process('sound'))
        ?.recordWhole();
    }
  }

  /** Loses these requests, whose answers had begun, in one crash. */
  function crash(id: string, ...requests: string[][]): void {
    for (const segments of requests) {
      const attempt = detector.observe(requestWith(...segments), process(id));
      attempt?.recordHead();
      attempt?.recordBroken();
    }
    detector.recordUnreachable(process(id));
    clock.tick(100);
  }

  it('blames a segment after four crashes that it alone explains', () => {
    survive(50, 'common', 'other');
    crash('one', ['common', POISON], ['common', 'other']);
    crash('two', ['common', POISON]);
    crash('three', ['common', POISON], ['common', 'third']);
    expect(isBlamed(POISON)).to.equal(false);
    crash('four', ['common', POISON]);
    expect(isBlamed(POISON)).to.equal(true);
    expect(isBlamed('common')).to.equal(false);
  });

  it('suspects a segment before chance is ruled out', () => {
    survive(1, 'common');
    for (const id of ['one', 'two', 'three']) crash(id, ['common', POISON]);
    expect(detector.isSuspected(requestWith(POISON))).to.equal(false);
    crash('four', ['common', POISON], ['common', 'other']);
    expect(detector.isSuspected(requestWith(POISON))).to.equal(true);
    expect(isBlamed(POISON)).to.equal(false);
    expect(detector.isSuspected(requestWith('common'))).to.equal(false);
  });

  it('blames no common segment while no request survives', () => {
    survive(50, 'common', 'other');
    for (let round = 0; round < 12; round += 1)
      crash(`engine${round}`, ['common', `rare${round}`]);
    expect(isBlamed('common')).to.equal(false);
  });

  it('counts broken connections only if the process has ended', () => {
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four']) {
      const attempt = detector.observe(
        requestWith('common', POISON),
        process(id),
      );
      attempt?.recordHead();
      attempt?.recordBroken();
    }
    clock.tick(10_000);
    for (const id of ['one', 'two', 'three', 'four'])
      detector.recordUnreachable(process(id));
    expect(isBlamed(POISON)).to.equal(false);
  });

  it('counts no process that said that it leaves', () => {
    detector = createDetector('node', {
      processState: () => ProcessState.LEAVING,
    });
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four'])
      crash(id, ['common', POISON]);
    expect(isBlamed(POISON)).to.equal(false);
  });

  it('takes the end of a process from the list if nothing was refused', () => {
    const ended = new Set<string>();
    detector = createDetector('node', {
      processState: ({id}) =>
        ended.has(id) ? ProcessState.ENDED : ProcessState.RUNNING,
    });
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four']) {
      detector
        .observe(requestWith('common', POISON), process(id))
        ?.recordBroken();
      clock.tick(1_000);
      ended.add(id);
      detector.update(evidenceOf());
    }
    expect(isBlamed(POISON)).to.equal(true);
  });

  it('blames no segment whose request outlived its beginning', () => {
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four']) {
      const attempt = detector.observe(
        requestWith('common', 'long'),
        process(id),
      );
      attempt?.recordHead();
      attempt?.recordData();
      clock.tick(SURVIVAL_MILLISECONDS);
      attempt?.recordData();
      attempt?.recordBroken();
      detector.recordUnreachable(process(id));
    }
    expect(isBlamed('long')).to.equal(false);
  });

  it('counts silence as a loss once the process has ended', () => {
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four']) {
      const attempt = detector.observe(
        requestWith('common', POISON),
        process(id),
      );
      clock.tick(1_500);
      attempt?.recordCancelled();
      detector.recordUnreachable(process(id));
    }
    expect(isBlamed(POISON)).to.equal(true);
  });

  it('takes an answer without length for whole unless its process ended', () => {
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four']) {
      const attempt = detector.observe(
        requestWith('common', 'unframed'),
        process(id),
      );
      attempt?.recordHead();
      attempt?.recordData();
      attempt?.recordBroken(false);
      clock.tick(1_200);
      detector.update(evidenceOf());
      detector.recordUnreachable(process(id));
    }
    expect(isBlamed('unframed')).to.equal(false);
  });

  it('adds up the crashes that peers saw', () => {
    const peers = [createDetector('left'), createDetector('right')];
    survive(50, 'common');
    const nodes = [detector, ...peers, peers[0]];
    for (const [index, id] of ['one', 'two', 'three', 'four'].entries()) {
      const node = nodes[index];
      node.observe(requestWith('common', POISON), process(id))?.recordBroken();
      node.recordUnreachable(process(id));
    }
    expect(isBlamed(POISON)).to.equal(false);
    detector.update(evidenceOf(...peers));
    expect(isBlamed(POISON)).to.equal(true);
  });

  it('blames no segment that survived at a peer', () => {
    const peer = createDetector('peer');
    survive(50, 'common');
    peer.observe(requestWith('innocent'), process('sound'))?.recordWhole();
    const ids = ['one', 'two', 'three', 'four', 'five', 'six'];
    for (const id of ids.slice(0, 2)) crash(id, ['common', 'innocent']);
    peer.update(evidenceOf(detector));
    detector.update(evidenceOf(peer));
    clock.tick(1);
    for (const id of ids.slice(2, 4)) crash(id, ['common', 'innocent']);
    expect(isBlamed('innocent')).to.equal(false);
    for (const id of ids.slice(4)) crash(id, ['common', 'innocent']);
    expect(isBlamed('innocent'), 'no survival since').to.equal(true);
  });

  it('adopts the decision of a peer once, also after the peer has gone', () => {
    survive(50, 'common');
    for (const id of ['one', 'two', 'three', 'four'])
      crash(id, ['common', POISON]);
    const restarted = createDetector('restarted');
    restarted.update(evidenceOf(detector));
    expect(isBlamed(POISON, restarted)).to.equal(true);
    const third = createDetector('third');
    third.update(evidenceOf(restarted));
    expect(isBlamed(POISON, third)).to.equal(true);
    // Nodes that adopt from one another do not prolong it.
    for (let hour = 0; hour < 12; hour += 1) {
      clock.tick(QUARANTINE_MILLISECONDS);
      restarted.update(evidenceOf(third));
      third.update(evidenceOf(restarted));
    }
    expect(isBlamed(POISON, restarted)).to.equal(false);
  });

  it('lifts a quarantine everywhere once a request has survived', () => {
    survive(50, 'common');
    const inFlight = detector.observe(
      requestWith('innocent'),
      process('sound'),
    );
    for (const id of ['one', 'two', 'three', 'four'])
      crash(id, ['common', 'innocent']);
    const peer = createDetector('peer');
    peer.update(evidenceOf(detector));
    expect(isBlamed('innocent', peer)).to.equal(true);
    inFlight?.recordWhole();
    expect(isBlamed('innocent')).to.equal(false);
    peer.update(evidenceOf(detector));
    expect(isBlamed('innocent', peer)).to.equal(false);
    const late = createDetector('late');
    late.update(evidenceOf(peer, detector));
    expect(isBlamed('innocent', late)).to.equal(false);
  });

  it('blames no common segment however often upstreams crash', () => {
    for (let round = 0; round < 200; round += 1) {
      survive(1, 'common', `rare${round}`);
      crash(
        `engine${round}`,
        ['common', `rare${round + 1_000}`],
        ['common', `rare${round + 2_000}`],
      );
    }
    expect(isBlamed('common')).to.equal(false);
  });
});
