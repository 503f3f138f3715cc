// Guards against requests that leave their failure domain although it serves them
// as soon, that stay although it cannot, and against nodes that disagree on it.
import type {
  DomainCapacity,
  LeavingInput,
} from '../../proxy/balance/leaving_the_domain.js';
import type {PickSettings} from '../../proxy/balance/pick_upstream.js';
import type {ProxyUpstream} from '../../proxy/proxy_upstream.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import seedrandom from 'seedrandom';

import {decideLeaving} from '../../proxy/balance/leaving_the_domain.js';
import {observeDomains} from '../../proxy/balance/observe_domains.js';
import {chooseUpstream, NoUpstreamReason} from '../../proxy/choose_upstream.js';
import {testUpstream} from './proxy_fixtures.js';

const SLOTS = 12;
/** Engines in each of two domains. */
const ENGINES = 6;
const DEFAULT_PRICE = 0.15;

function side(demand: number, changes: Partial<DomainCapacity> = {}) {
  return {slots: 100, workTimeFactor: 1, demand, ...changes};
}

function leavingShare(changes: Partial<LeavingInput>): number {
  return decideLeaving({
    local: side(50),
    elsewhere: side(50),
    extraPathMilliseconds: 10,
    requestMilliseconds: 500,
    priceShare: DEFAULT_PRICE,
    ...changes,
  }).leavingShare;
}

describe('share of requests that leave their failure domain', () => {
  it('is zero on an idle and on an evenly loaded service', () => {
    const idle = {local: side(0), elsewhere: side(0)};
    expect(leavingShare(idle)).to.equal(0);
    expect(leavingShare({})).to.equal(0);
  });

  it('makes expected times equal if the domain has more than it can serve', () => {
    const local = side(140);
    const elsewhere = side(20);
    const share = leavingShare({local, elsewhere});
    const timeLocal = 1 + (140 * (1 - share)) / 100;
    const timeElsewhere = 1 + (20 + 140 * share) / 100;
    expect(timeLocal - timeElsewhere).to.be.closeTo(DEFAULT_PRICE + 0.02, 0.02);
  });

  it('rises if the domain is slow', () => {
    const slow = {local: side(50, {workTimeFactor: 2})};
    expect(leavingShare(slow)).to.be.within(0.3, 0.9);
    expect(leavingShare({local: side(50, {workTimeFactor: 8})})).to.equal(1);
  });

  it('is one if the domain is gone, at any price', () => {
    const gone = {local: undefined, priceShare: Infinity};
    expect(leavingShare(gone)).to.equal(1);
  });

  it('is zero if the other domains are fuller or gone', () => {
    const fuller = {local: side(90), elsewhere: side(120)};
    expect(leavingShare(fuller)).to.equal(0);
    expect(leavingShare({local: side(200), elsewhere: undefined})).to.equal(0);
  });

  it('is zero if both are as full', () => {
    const full = {local: side(150), elsewhere: side(150)};
    expect(leavingShare(full)).to.equal(0);
  });

  it('weighs only time and path if bytes cost nothing', () => {
    const differing = {local: side(60), elsewhere: side(40), priceShare: 0};
    expect(leavingShare(differing)).to.be.within(0.1, 0.2);
    const far = {...differing, extraPathMilliseconds: 120};
    expect(leavingShare(far)).to.equal(0);
  });

  it('is zero at a very high price while the domain has upstreams', () => {
    const dear = {local: side(140), elsewhere: side(0), priceShare: Infinity};
    expect(leavingShare(dear)).to.equal(0);
  });

  it('changes little if the counts are a little different or stale', () => {
    let previous = 0;
    for (let demand = 0; demand <= 200; demand += 2) {
      const share = leavingShare({local: side(demand), elsewhere: side(20)});
      expect(share - previous).to.be.within(0, 0.06);
      previous = share;
    }
  });
});

describe('choice in and out of the failure domain', () => {
  let clock: ReturnType<typeof install>;
  let near: ProxyUpstream[];
  let far: ProxyUpstream[];
  let settings: PickSettings;

  beforeEach(() => {
    clock = install({toFake: ['performance']});
    const create = (failureDomain: string) =>
      Array.from({length: ENGINES}, (_item, index) =>
        testUpstream(`${failureDomain}-${index}`, [], {
          slots: SLOTS,
          failureDomain,
        }),
      );
    near = create('near');
    far = create('far');
    settings = {
      ownFailureDomain: 'near',
      priceShare: DEFAULT_PRICE,
      fullShare: 1,
      senderCount: 35,
      random: seedrandom('leaving'),
    };
  });

  afterEach(() => clock.uninstall());

  /** Sets the requests in flight at each upstream, all from its own domain. */
  function setLoad(inFlightNear: number, inFlightFar: number): void {
    for (const upstream of near) {
      upstream.peersInFlight = inFlightNear;
      upstream.domainPeersInFlight = inFlightNear;
    }
    for (const upstream of far) upstream.peersInFlight = inFlightFar;
  }

  function shareElsewhere(upstreams: readonly ProxyUpstream[]): number {
    const choices = Array.from({length: 400}, () =>
      chooseUpstream(upstreams, undefined, new Set(), settings),
    );
    const leaving = choices.filter(
      choice =>
        typeof choice !== 'string' &&
        choice.description.failureDomain !== 'near',
    );
    return leaving.length / choices.length;
  }

  for (const senderCount of [7, 35]) {
    it(`stays while the domain is little busier, with ${senderCount} nodes`, () => {
      settings = {...settings, senderCount};
      setLoad(4, 3);
      expect(shareElsewhere([...near, ...far])).to.equal(0);
    });

    it(`leaves a domain that is full at any price, with ${senderCount} nodes`, () => {
      settings = {...settings, senderCount, priceShare: Infinity};
      setLoad(SLOTS, 6);
      expect(shareElsewhere([...near, ...far])).to.equal(1);
    });

    it(`leaves a domain without upstreams, with ${senderCount} nodes`, () => {
      settings = {...settings, senderCount};
      expect(shareElsewhere(far)).to.equal(1);
    });

    it(`stays at a very high price, with ${senderCount} nodes`, () => {
      settings = {...settings, senderCount, priceShare: Infinity};
      setLoad(SLOTS - 1, 0);
      expect(shareElsewhere([...near, ...far])).to.equal(0);
    });

    it(`leaves a domain whose engines are slow, with ${senderCount} nodes`, () => {
      settings = {...settings, senderCount};
      setLoad(6, 6);
      for (const upstream of near)
        upstream.recordReportedLoad({
          running: 6,
          waiting: 0,
          slots: SLOTS,
          workPercent: 400,
        });
      expect(shareElsewhere([...near, ...far])).to.be.at.least(0.5);
    });
  }

  it('sends a part elsewhere if the domain is busier', () => {
    setLoad(7, 4);
    expect(shareElsewhere([...near, ...far])).to.be.within(0.02, 0.2);
  });

  it('is full if both are', () => {
    setLoad(SLOTS, SLOTS);
    const choice = chooseUpstream(
      [...near, ...far],
      undefined,
      new Set(),
      settings,
    );
    expect(choice).to.equal(NoUpstreamReason.FULL);
  });

  it('counts requests where they came in, so that leaving changes no input', () => {
    setLoad(6, 2);
    const observe = () =>
      observeDomains(
        [...near, ...far].map(upstream => ({
          upstream,
          inFlight: upstream.estimatedInFlight,
          workTimeFactor: 1,
        })),
        settings,
      );
    const before = observe();
    // Two requests of this domain at each upstream are sent elsewhere instead.
    setLoad(4, 4);
    for (const upstream of far) upstream.domainPeersInFlight = 2;
    expect(observe()).to.eql(before);
    expect(before.local?.demand).to.equal(6 * ENGINES);
    expect(before.elsewhere?.demand).to.equal(2 * ENGINES);
  });

  it('measures the extra path by the fastest answers', () => {
    for (let index = 0; index < 20; index += 1) {
      for (const upstream of near) upstream.responseTime.record(64 + index);
      for (const upstream of far) upstream.responseTime.record(74 + index);
    }
    const observed = [...near, ...far].map(upstream => ({
      upstream,
      inFlight: 0,
      workTimeFactor: 1,
    }));
    const input = observeDomains(observed, settings);
    expect(input.extraPathMilliseconds).to.equal(10);
    expect(input.requestMilliseconds).to.be.within(64, 94);
  });

  it('bounds the extra path, which a failing upstream may inflate', () => {
    for (let index = 0; index < 20; index += 1) {
      for (const upstream of near) upstream.responseTime.record(1);
      for (const upstream of far) upstream.responseTime.record(5_000);
    }
    const observed = [...near, ...far].map(upstream => ({
      upstream,
      inFlight: 0,
      workTimeFactor: 1,
    }));
    expect(
      observeDomains(observed, settings).extraPathMilliseconds,
    ).to.be.at.most(30);
  });
});
