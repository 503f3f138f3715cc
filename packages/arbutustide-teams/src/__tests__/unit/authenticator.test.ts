import type {RefusalError} from '@arbutustide/errors';

import {ErrorKind} from '@arbutustide/errors';
import {expect} from 'chai';

import {Authenticator} from '../../authenticator.js';
import {createUnconfirmedRefusal} from '../../configuration_freshness.js';
import {digestKey, KeyTableCache} from '../../key_table.js';
import {testConfiguration, testTeam} from './fixtures.js';

const PRIVATE = {isPublic: false};
const CONFIGURATION = testConfiguration(1, [
  testTeam('large', ['key-1', 'key-2'], 3),
  testTeam('small', ['schlüssel']),
]);

/** A header value as Node.js reports it: a character for each byte. */
function toHeaderValue(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

describe('Authenticator', () => {
  let unconfirmed: RefusalError | undefined;
  let authenticator: Authenticator;

  beforeEach(() => {
    unconfirmed = undefined;
    authenticator = new Authenticator(new KeyTableCache(), {
      refuseIfUnconfirmed: () => unconfirmed,
    });
  });

  function authenticate(
    keys: readonly string[],
    configuration = CONFIGURATION,
    route = PRIVATE,
  ) {
    return authenticator.authenticate(configuration, route, () => keys);
  }

  // Guards against a team that is billed or prioritized as another one.
  it('finds the team of each key, with its priority and the digest', () => {
    expect(authenticate(['key-2']).unwrap()).to.deep.equal({
      name: 'large',
      priority: 3,
      keyDigest: digestKey('key-2', 'utf8'),
    });
    const small = authenticate([toHeaderValue('schlüssel')]).unwrap();
    expect(small?.name).to.equal('small');
  });

  // Guards against answers that tell a caller which keys exist.
  it('gives missing, unknown and ambiguous keys the same refusal', () => {
    const refusals = [
      [],
      [''],
      ['unknown'],
      ['key-1', 'key-1'],
      ['key-1, key-2'],
      ['k'.repeat(8_192)],
      ['key\t1'],
    ].map(keys => authenticate(keys));
    for (const refusal of refusals) {
      expect(refusal.err).to.equal(true);
      if (refusal.ok) continue;
      expect(refusal.val.kind).to.equal(ErrorKind.UNAUTHENTICATED);
      const [first] = refusals;
      expect(refusal.val.message).to.equal(first.err && first.val.message);
    }
  });

  // Guards against keys that are demanded where none exist.
  it('needs no key on public routes and without teams', () => {
    const isPublic = {isPublic: true};
    unconfirmed = createUnconfirmedRefusal();
    expect(authenticate([], CONFIGURATION, isPublic).unwrap()).to.equal(
      undefined,
    );
    const withoutTeams = testConfiguration(1, undefined);
    expect(authenticate([], withoutTeams).unwrap()).to.equal(undefined);
  });

  // Guards against routes that are open because every team was removed.
  it('refuses every key if the list of teams is empty', () => {
    const refused = authenticate(['key-1'], testConfiguration(1, []));
    expect(refused.err).to.equal(true);
  });

  // Guards against 401 for a key that the newest configuration contains.
  it('judges no key while the configuration is unconfirmed', () => {
    unconfirmed = createUnconfirmedRefusal();
    for (const key of ['key-1', 'unknown']) {
      const refused = authenticate([key]);
      expect(refused.err && refused.val).to.equal(unconfirmed);
    }
  });
});
