// Guards against more input in one turn of the event loop than can be freed.
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ReadingPace} from '../../bounds/reading_pace.js';

const CHUNK_BYTES = 65_536;
const CONNECTIONS = 100;

describe('pace at which input is read', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  function createSource() {
    const source = {
      isPaused: false,
      pause: () => (source.isPaused = true),
      resume: () => (source.isPaused = false),
    };
    return source;
  }

  it('pauses what comes beyond it until the next turn', () => {
    const pace = new ReadingPace();
    const sources = Array.from({length: CONNECTIONS}, createSource);
    for (const source of sources) pace.record(source, CHUNK_BYTES);
    expect(sources[0].isPaused).to.equal(false);
    expect(sources[CONNECTIONS - 1].isPaused).to.equal(true);
    const countPaused = () => sources.filter(({isPaused}) => isPaused).length;
    const before = countPaused();
    clock.next();
    expect(countPaused()).to.be.within(1, before - 1);
    clock.runAll();
    expect(countPaused()).to.equal(0);
  });

  it('leaves a source paused that it was told to forget', () => {
    const pace = new ReadingPace();
    const source = createSource();
    for (let chunk = 0; chunk < CONNECTIONS; chunk += 1)
      pace.record(source, CHUNK_BYTES);
    pace.forget(source);
    clock.next();
    expect(source.isPaused).to.equal(true);
  });
});
