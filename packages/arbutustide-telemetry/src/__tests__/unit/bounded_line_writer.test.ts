import type {ByteSink} from '../../bounded_line_writer.js';

import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {BoundedLineWriter} from '../../bounded_line_writer.js';

/** A sink whose writes complete only on `completePendingWrites`. */
class StalledSink {
  text = '';
  private pendingWrites: (() => void)[] = [];

  readonly write: ByteSink = (bytes, done) => {
    this.pendingWrites.push(() => {
      this.text += bytes.toString();
      done(null, bytes.length);
    });
  };

  completePendingWrites(): void {
    for (const complete of this.pendingWrites.splice(0)) complete();
  }
}

// A stalled log reader must neither block the node nor make pending lines grow
// without bound, and the log must show how many lines were dropped.
describe('bounded line writer', () => {
  it('writes lines in order and joins pending lines into one write', () => {
    const sink = new StalledSink();
    const writer = new BoundedLineWriter(sink.write, 1_000);
    for (const line of ['one\n', 'two\n', 'three\n']) writer.write(line);
    sink.completePendingWrites();
    sink.completePendingWrites();
    expect(sink.text).to.equal('one\ntwo\nthree\n');
    expect(writer.lineCounts).to.eql({written: 3, dropped: 0});
  });

  it('drops lines beyond the bound, without blocking, while the reader stalls', () => {
    const sink = new StalledSink();
    const writer = new BoundedLineWriter(sink.write, 20);
    for (let line = 0; line < 100; line += 1) writer.write('0123456789\n');
    expect(writer.lineCounts.dropped).to.equal(98);
    sink.completePendingWrites();
    sink.completePendingWrites();
    expect(sink.text).to.include('"log lines dropped","lines":98');
  });

  it('writes the rest after a partial write', () => {
    let text = '';
    const writer = new BoundedLineWriter((bytes, done) => {
      text += bytes.subarray(0, 2).toString();
      done(null, Math.min(2, bytes.length));
    }, 1_000);
    writer.write('abcdef\n');
    expect(text).to.equal('abcdef\n');
  });

  // Guards against the last lines of a process being lost when it ends.
  it('flushes the write in progress and the lines that wait behind it', async () => {
    const sink = new StalledSink();
    const writer = new BoundedLineWriter(sink.write, 1_000);
    writer.write('one\n');
    writer.write('last\n');
    let isFlushed = false;
    const flushed = writer.flush(1_000).then(isIdle => {
      isFlushed = true;
      return isIdle;
    });
    sink.completePendingWrites();
    await Promise.resolve();
    expect(isFlushed).to.equal(false);
    sink.completePendingWrites();
    expect(await flushed).to.equal(true);
    expect(sink.text).to.equal('one\nlast\n');
  });

  it('gives up a flush while the reader stalls', async () => {
    const clock = install();
    try {
      const writer = new BoundedLineWriter(new StalledSink().write, 1_000);
      writer.write('one\n');
      const flushed = writer.flush(100);
      await clock.tickAsync(100);
      expect(await flushed).to.equal(false);
    } finally {
      clock.uninstall();
    }
  });

  describe('with a pause between writes', () => {
    let clock: ReturnType<typeof install>;
    let writes: string[];
    let writer: BoundedLineWriter;

    beforeEach(() => {
      clock = install();
      writes = [];
      const sink: ByteSink = (bytes, done) => {
        writes.push(bytes.toString());
        done(null, bytes.length);
      };
      writer = new BoundedLineWriter(sink, 1_000_000, 250);
    });

    afterEach(() => clock.uninstall());

    it('does not write each of the lines of a busy node by itself', () => {
      for (let line = 0; line < 20; line += 1) {
        writer.write(`${line}\n`);
        clock.tick(50);
      }
      expect(writes.length).to.be.within(4, 5);
      clock.tick(250);
      expect(writes.join('').split('\n')).to.have.length(21);
    });

    it('does not hold back a line that follows none', () => {
      writer.write('one\n');
      expect(writes).to.eql(['one\n']);
      clock.tick(250);
      writer.write('two\n');
      expect(writes).to.eql(['one\n', 'two\n']);
    });

    it('does not hold back more lines than a batch', () => {
      const line = `${'x'.repeat(999)}\n`;
      for (let count = 0; count < 500; count += 1) writer.write(line);
      expect(writer.lineCounts.dropped).to.equal(0);
      expect(writes.join('').length).to.be.above(400_000);
    });

    // Guards against the last lines of a process being lost when it ends.
    it('does not make a flush wait for the pause', async () => {
      writer.write('one\n');
      writer.write('last\n');
      expect(await writer.flush(1_000)).to.equal(true);
      expect(writes.join('')).to.equal('one\nlast\n');
    });

    it('wakes the event loop for no line', () => {
      writer.write('one\n');
      expect(clock.countTimers()).to.equal(0);
    });
  });

  it('flushes nothing at once', async () => {
    const writer = new BoundedLineWriter(new StalledSink().write, 1_000);
    expect(await writer.flush(1_000)).to.equal(true);
  });

  it('counts the lines of a failed write as dropped', () => {
    const writer = new BoundedLineWriter(
      (_bytes, done) => done(new Error('closed'), 0),
      1_000,
    );
    writer.write('lost\n');
    expect(writer.lineCounts).to.eql({written: 0, dropped: 1});
  });
});
