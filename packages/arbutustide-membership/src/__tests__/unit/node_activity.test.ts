/**
 * Guards against loads and demands that are read otherwise than they were
 * written, and against texts that stop a node.
 */
import {expect} from 'chai';
import fastCheck from 'fast-check';

import {
  formatDemands,
  formatLoads,
  parseDemands,
  parseLoads,
} from '../../node_activity.js';

const count = fastCheck.nat();
const name = fastCheck
  .string({minLength: 1})
  .filter(text => !text.includes('\n'));

describe('requests of a node as text', () => {
  it('are read as they were written', () => {
    const load = fastCheck.record({upstreamId: name, inFlight: count});
    fastCheck.assert(
      fastCheck.property(fastCheck.array(load), loads => {
        expect([...parseLoads(formatLoads(loads))]).to.eql(loads);
      }),
    );
    const demand = fastCheck.record({
      entry: name,
      inFlight: count,
      queued: count,
      queuedByPriority: fastCheck.array(count),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(demand), demands => {
        expect([...parseDemands(formatDemands(demands))]).to.eql(demands);
      }),
    );
  });

  it('leave out names that would be taken for other lines', () => {
    const loads = [
      {upstreamId: 'a\n9 b', inFlight: 1},
      {upstreamId: 'c', inFlight: 2},
    ];
    expect([...parseLoads(formatLoads(loads))]).to.eql([loads[1]]);
  });

  it('are skipped where they are malformed', () => {
    const text = 'x\n\n-1 a\n1.5 b\n2 c\n3 \n4';
    expect([...parseLoads(text)]).to.eql([{upstreamId: 'c', inFlight: 2}]);
    expect([...parseDemands('1 2 - a\n1 2 x b\n1 2\n')]).to.eql([
      {entry: 'a', inFlight: 1, queued: 2, queuedByPriority: []},
    ]);
  });

  it('are read whatever the text is', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.string(), text => {
        for (const {inFlight} of parseLoads(text))
          expect(inFlight).to.be.least(0);
        for (const {queued} of parseDemands(text))
          expect(queued).to.be.least(0);
      }),
    );
  });
});
