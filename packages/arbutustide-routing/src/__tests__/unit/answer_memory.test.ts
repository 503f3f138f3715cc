/**
 * Guards against answers without end that take the memory of a whole node
 * together, although each is bounded, and keep usual answers from their callers.
 */
import {expect} from 'chai';

import {AnswerMemory} from '../../proxy/answer_memory.js';

const CHUNK_BYTES = 16 * 1_024;
const ENDLESS_ANSWERS = 48;
/** Size from which an answer counts as endless by itself. */
const MAXIMUM_ANSWER_BYTES = 4 * 1_024 * 1_024;
/** What a node may hold for answers; its limit is 160 MB in the smallest host. */
const MAXIMUM_BYTES = 40 * 1_024 * 1_024;

describe('memory of answers that are read as a whole', () => {
  function readEndless(memory: AnswerMemory) {
    const room = memory.open();
    let bytes = 0;
    while (bytes < MAXIMUM_ANSWER_BYTES && room.tryAdd(CHUNK_BYTES))
      bytes += CHUNK_BYTES;
    return {room, bytes};
  }

  it('is bounded over all answers, and leaves room for usual ones', () => {
    const memory = new AnswerMemory();
    const answers = Array.from({length: ENDLESS_ANSWERS}, () =>
      readEndless(memory),
    );
    const held = answers.reduce((sum, {bytes}) => sum + bytes, 0);
    expect(held).to.be.lessThan(MAXIMUM_BYTES);
    expect(memory.open().tryAdd(CHUNK_BYTES)).to.equal(true);
  });

  it('is free again once the answers were read', () => {
    const memory = new AnswerMemory();
    const first = Array.from({length: ENDLESS_ANSWERS}, () =>
      readEndless(memory),
    );
    expect(readEndless(memory).bytes).to.be.lessThan(MAXIMUM_ANSWER_BYTES);
    for (const {room} of first) room.release();
    expect(readEndless(memory).bytes).to.equal(MAXIMUM_ANSWER_BYTES);
  });
});
