import {expect} from 'chai';

import {limitNesting} from '../../limit_nesting.js';

function nest(depth: number): unknown {
  return JSON.parse('[{"a":'.repeat(depth) + '1' + '}]'.repeat(depth));
}

describe('limitNesting', () => {
  it('keeps values that are nested as usual', () => {
    for (const value of [null, 'text', 0, {}, {a: [{b: 1}, []]}, nest(30)])
      expect(limitNesting(value)).to.equal(value);
  });

  it('drops values that JSON.stringify could not serialize', () => {
    for (const depth of [33, 5_000, 100_000])
      expect(limitNesting(nest(depth))).to.equal(undefined);
  });
});
