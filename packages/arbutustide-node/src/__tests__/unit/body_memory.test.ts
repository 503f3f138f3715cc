// Guards against callers whose bodies take the memory of a process together.
import {expect} from 'chai';

import {BodyBuffer} from '../../bounds/body_buffer.js';
import {BodyMemory} from '../../bounds/body_memory.js';

const LIMIT_BYTES = 1_048_576;
const BODY_BYTES = 262_144;
const SMALL_BYTES = 4_096;
const CROWD = 400;

const LONG_BYTES = 1_000_000;

describe('memory for request bodies', () => {
  let memory: BodyMemory;
  let evicted: string[];

  beforeEach(() => {
    memory = new BodyMemory(LIMIT_BYTES);
    evicted = [];
  });

  const open = (name: string, bodyBytes = BODY_BYTES) =>
    memory.open(bodyBytes, () => evicted.push(name));

  it('is never exceeded by a crowd of unfinished bodies', () => {
    for (let body = 0; body < CROWD; body += 1)
      open(`body ${body}`).tryResize(BODY_BYTES - body);
    expect(memory.heldBytes).to.be.at.most(LIMIT_BYTES);
  });

  it('is taken from the unfinished body that holds most', () => {
    for (const [name, bytes] of Object.entries({a: 100_000, b: BODY_BYTES}))
      open(name).tryResize(bytes);
    for (let body = 0; body < 4; body += 1)
      expect(open('other').tryResize(120_000)).to.equal(true);
    expect(evicted).to.eql(['b']);
  });

  it('is not taken from a small body for a large one', () => {
    for (let body = 0; body < CROWD; body += 1) {
      open('small').tryResize(SMALL_BYTES);
      open('large').tryResize(BODY_BYTES);
    }
    expect(evicted).not.to.include('small');
  });

  it('is not taken from whole bodies and has room for small ones', () => {
    for (let body = 0; body < CROWD; body += 1) {
      const room = open('whole');
      if (room.tryResize(BODY_BYTES)) room.keep();
    }
    expect(open('large').tryResize(BODY_BYTES)).to.equal(false);
    expect(open('small').tryResize(SMALL_BYTES)).to.equal(true);
    expect(evicted).to.eql([]);
  });

  it('has room for a body of the limit in calm', () => {
    const limitBytes = 10 * LIMIT_BYTES;
    const room = open('longest', limitBytes);
    expect(room.tryResize(limitBytes)).to.equal(true);
    room.release();
    expect(memory.heldBytes).to.equal(0);
  });

  it('takes one buffer for many chunks', () => {
    const buffer = new BodyBuffer(open('chunks'), BODY_BYTES);
    const text = 'a body in chunks of one byte '.repeat(200);
    for (const byte of Buffer.from(text))
      expect(buffer.tryAppend(Buffer.of(byte))).to.equal(true);
    const bytes = buffer.takeBytes();
    expect(bytes.toString()).to.equal(text);
    expect(memory.heldBytes).to.be.lessThan(2 * text.length + 1);
    expect(bytes.buffer.byteLength).to.be.at.most(memory.heldBytes);
  });

  it('takes blocks for a long body, and uses them again', () => {
    const memoryOfMany = new BodyMemory(100 * LONG_BYTES);
    for (const fill of [1, 2]) {
      const room = memoryOfMany.open(LONG_BYTES, () => {});
      const buffer = new BodyBuffer(room, LONG_BYTES);
      const chunk = Buffer.alloc(LONG_BYTES / 10, fill);
      for (let count = 0; count < 10; count += 1)
        expect(buffer.tryAppend(chunk)).to.equal(true);
      expect(room.heldBytes).to.be.at.least(LONG_BYTES);
      const bytes = buffer.takeBytes();
      expect(bytes.equals(Buffer.alloc(LONG_BYTES, fill))).to.equal(true);
    }
  });
});
