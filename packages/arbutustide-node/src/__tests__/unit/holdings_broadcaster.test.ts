import {delay} from '@arbutustide/errors';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {HoldingsBroadcaster} from '../../proxy/holdings_broadcaster.js';

const CHANGE_MILLISECONDS = 50;
const OBSERVED_MILLISECONDS = 10_000;

describe('broadcasts of holdings', () => {
  let clock: ReturnType<typeof install>;
  let lastChange: number;
  let sentChanges: number[];

  beforeEach(() => {
    clock = install();
    lastChange = 0;
    sentChanges = [];
  });
  afterEach(() => clock.uninstall());

  /** Changes the holdings often, while a broadcast takes so long. */
  async function changeOften(broadcastMilliseconds: number): Promise<void> {
    const broadcaster = new HoldingsBroadcaster(async () => {
      sentChanges.push(lastChange);
      await delay(broadcastMilliseconds);
    });
    for (let at = 0; at < OBSERVED_MILLISECONDS; at += CHANGE_MILLISECONDS) {
      lastChange += 1;
      broadcaster.request();
      await clock.tickAsync(CHANGE_MILLISECONDS);
    }
    await clock.tickAsync(OBSERVED_MILLISECONDS);
  }

  it('are not made for each change by itself', async () => {
    await changeOften(10);
    expect(sentChanges.length).to.be.within(30, 41);
    expect(sentChanges.at(-1)).to.equal(lastChange);
  });

  it('take a small part of the time of a node that is behind', async () => {
    await changeOften(500);
    expect(sentChanges.length).to.be.at.most(6);
    expect(sentChanges.at(-1)).to.equal(lastChange);
  });

  it('go on soon after one that a silent peer held up', async () => {
    let silentMilliseconds = 4_000;
    const broadcaster = new HoldingsBroadcaster(async () => {
      sentChanges.push(lastChange);
      await delay(silentMilliseconds);
    });
    broadcaster.request();
    await clock.tickAsync(silentMilliseconds);
    silentMilliseconds = 10;
    lastChange += 1;
    broadcaster.request();
    await clock.tickAsync(2_500);
    expect(sentChanges.at(-1)).to.equal(lastChange);
  });

  it('are made at once after a time without changes', async () => {
    const broadcaster = new HoldingsBroadcaster(async () => {
      sentChanges.push(lastChange);
    });
    broadcaster.request();
    await clock.tickAsync(1_000);
    broadcaster.request();
    expect(sentChanges).to.have.length(2);
  });
});
