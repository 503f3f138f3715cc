/** Guards against objects that are never seen as they existed for a short time. */
import {expect} from 'chai';

import {mergeBatches} from '../../merge_batches.js';

const KEY = 'upstreams/one';
const written = (version: number) => ({
  changes: [{key: KEY, version, value: version}],
  deletedKeys: [],
});
const deleted = {changes: [], deletedKeys: [KEY]};

describe('batches that are merged', () => {
  it('report an object that was written and deleted as both', () => {
    const merged = mergeBatches([written(1), deleted], 2);
    expect(merged.changes.map(({version}) => version)).to.eql([1]);
    expect(merged.deletedKeys).to.eql([KEY]);
  });

  it('report one that was created again as changed only', () => {
    const merged = mergeBatches([written(1), deleted, written(3)], 3);
    expect(merged.changes.map(({version}) => version)).to.eql([3]);
    expect(merged.deletedKeys).to.eql([]);
  });
});
