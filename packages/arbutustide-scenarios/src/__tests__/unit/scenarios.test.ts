import {expect} from 'chai';

import {parseScenario, readScenarios} from '../../language/parse_scenario.js';
import {runScenario} from '../../language/run_scenario.js';

/*
 * Runs every scenario file. Guards the language too: a scenario that skipped an
 * unknown statement or a failed expectation would pass without checking it.
 */
describe('scenario', () => {
  for (const scenario of readScenarios()) {
    it(scenario.title, () => runScenario(scenario));
  }
});

describe('scenario language', () => {
  it('reports the line of an unknown statement', () => {
    const text =
      'scenario "x"\ngiven the standard world with seed 1\nwhen so\n';
    expect(() => parseScenario(text))
      .to.throw()
      .with.nested.property('location.start.line', 3);
  });

  it('fails at the first expectation that is not met', async () => {
    const scenario = parseScenario(
      'scenario "x"\ngiven the standard world with seed 1\n' +
        'then every node is at revision 9\n',
    );
    let message = '';
    await runScenario(scenario).catch((error: Error) => {
      message = error.message;
    });
    expect(message).to.contain('line 3').and.to.contain('is at revision 1');
  });
});
