import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  adapterEntryName,
  DemandCounter,
  modelEntryName,
} from '../../proxy/demand_counter.js';

describe('demand of requests that are refused on arrival', () => {
  let clock: ReturnType<typeof install>;
  let counter: DemandCounter;

  beforeEach(() => {
    clock = install();
    counter = new DemandCounter();
    const modelRequest = {model: 'alpha', adapter: 'a1'};
    for (let count = 0; count < 3; count += 1)
      counter.recordRefused({service: 'engines', modelRequest});
  });
  afterEach(() => clock.uninstall());

  it('counts for their model and adapter, as their callers come back', () => {
    for (const entry of [
      modelEntryName('engines', 'alpha'),
      adapterEntryName('engines', 'alpha', 'a1'),
    ]) {
      expect(counter.demandFor(entry)?.queued, entry).to.equal(3);
      expect(counter.demandFor(entry)?.inFlight, entry).to.equal(0);
    }
  });

  it('is forgotten when they do not come back', () => {
    clock.tick(10_000);
    const entry = modelEntryName('engines', 'alpha');
    expect(counter.demandFor(entry)?.queued).to.equal(0);
  });

  it('counts while hundreds of other models and adapters were asked for', () => {
    for (let index = 0; index < 300; index += 1) {
      const modelRequest = {model: `model-${index}`, adapter: undefined};
      counter.recordRefused({service: 'engines', modelRequest});
    }
    const entry = modelEntryName('engines', 'alpha');
    const find = () =>
      [...counter.loads()].find(({entryName}) => entryName === entry);
    expect(find()?.queued).to.equal(3);
    expect(find()?.queued).to.equal(3);
  });
});
