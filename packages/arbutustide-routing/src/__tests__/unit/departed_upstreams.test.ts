/**
 * Guards against new requests to an upstream that has left: its own answers, a
 * peer, or the platform's list said so, and an outdated list may still show it
 * as ready.
 */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {DepartureSource} from '../../proxy/departed_upstreams.js';
import {ProxyUpstreamDirectory} from '../../proxy/proxy_upstream_directory.js';
import {UpstreamState} from '../../proxy/proxy_upstream.js';
import {testDescription} from './proxy_fixtures.js';

const LONG_AFTER_MILLISECONDS = 20_000;

describe('departed upstreams', () => {
  let clock: ReturnType<typeof install>;
  let directory: ProxyUpstreamDirectory;
  const ready = testDescription({id: 'one', startedAt: 5});

  beforeEach(() => {
    clock = install();
    directory = new ProxyUpstreamDirectory();
    directory.upsert(ready);
  });
  afterEach(() => clock.uninstall());

  for (const source of [DepartureSource.ANSWER, DepartureSource.REPORT]) {
    it(`keeps an upstream leaving that is listed as ready again: ${source}`, () => {
      directory.markLeaving(ready, source);
      expect(directory.get('one')?.isReady).to.equal(false);
      directory.upsert(ready);
      expect(directory.get('one')?.isReady).to.equal(false);
      directory.remove('one');
      directory.upsert(ready);
      expect(directory.get('one')?.isReady).to.equal(false);
    });
  }

  it('keeps an upstream leaving that was listed as leaving before', () => {
    directory.upsert({...ready, state: UpstreamState.LEAVING});
    directory.upsert(ready);
    expect(directory.get('one')?.isReady).to.equal(false);
  });

  it('uses another process with the same id', () => {
    directory.markLeaving(ready, DepartureSource.ANSWER);
    directory.upsert({...ready, startedAt: 6});
    expect(directory.get('one')?.isReady).to.equal(true);
    // A late message about the earlier process.
    directory.markLeaving(ready, DepartureSource.REPORT);
    expect(directory.get('one')?.isReady).to.equal(true);
  });

  it('keeps a departure when a peer reports that of an earlier process', () => {
    const later = {...ready, startedAt: 6};
    directory.markLeaving(later, DepartureSource.ANSWER);
    directory.markLeaving(ready, DepartureSource.REPORT);
    directory.upsert(later);
    expect(directory.get('one')?.isReady).to.equal(false);
  });

  it('keeps a departure when an outdated list shows an earlier process', () => {
    const later = {...ready, startedAt: 6};
    directory.markLeaving(later, DepartureSource.ANSWER);
    directory.upsert(ready);
    directory.upsert(later);
    expect(directory.get('one')?.isReady).to.equal(false);
  });

  it('uses a process again that was removed and has listed itself again', () => {
    directory.remove('one');
    expect(directory.hasDeparted(ready)).to.equal(true);
    directory.upsert(ready);
    expect(directory.hasDeparted(ready)).to.equal(false);
    expect(directory.get('one')?.isReady).to.equal(true);
  });

  it('passes on for a time what its own answers said, and nothing else', async () => {
    directory.upsert(testDescription({id: 'two', startedAt: 7}));
    directory.markLeaving(ready, DepartureSource.ANSWER);
    directory.markLeaving({id: 'two', startedAt: 7}, DepartureSource.REPORT);
    expect([...directory.observedDepartures()]).to.eql([
      {id: 'one', startedAt: 5},
    ]);
    await clock.tickAsync(LONG_AFTER_MILLISECONDS);
    expect([...directory.observedDepartures()]).to.eql([]);
    expect(directory.hasDeparted(ready)).to.equal(true);
  });
});
