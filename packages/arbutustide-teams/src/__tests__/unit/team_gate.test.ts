import type {RefusalError} from '@arbutustide/errors';
import type {RoutedRequest, ServingConfiguration} from '@arbutustide/routing';

import {ErrorKind, ExecutionStatus} from '@arbutustide/errors';
import {expect} from 'chai';
import {Ok} from 'ts-results';

import {createUnconfirmedRefusal} from '../../configuration_freshness.js';
import {digestKey, KeyTableCache} from '../../key_table.js';
import {TeamGate} from '../../team_gate.js';
import {testConfiguration, testTeam, testTeamRequest} from './fixtures.js';

const TEAM = {
  name: 'team',
  priority: undefined,
  keyDigest: digestKey('key', 'utf8'),
};

describe('TeamGate', () => {
  let configuration: ServingConfiguration | undefined;
  let unconfirmed: RefusalError | undefined;
  let taken: RoutedRequest[];
  let gate: TeamGate;

  beforeEach(() => {
    configuration = testConfiguration(1, [testTeam('team', ['key'])]);
    unconfirmed = undefined;
    taken = [];
    gate = new TeamGate({
      currentConfiguration: () => configuration,
      keyTables: new KeyTableCache(),
      freshness: {refuseIfUnconfirmed: () => unconfirmed},
      quotas: {
        take: async request => {
          taken.push(request);
          return Ok({giveBack: () => {}});
        },
      },
    });
  });

  // Guards against a request that runs under a key revoked while it waited.
  it('refuses a key that the newest configuration lacks, as not run', async () => {
    const request = testTeamRequest(TEAM);
    expect(gate.check(request)).to.equal(undefined);
    configuration = testConfiguration(2, [testTeam('team', ['other'])]);
    expect(gate.check(request)).to.include({
      kind: ErrorKind.UNAUTHENTICATED,
      ran: ExecutionStatus.NOT_EXECUTED,
    });
    expect((await gate.admit(request)).err).to.equal(true);
    expect(taken).to.have.length(0);
  });

  // Guards against 401 for a valid key at a node that is behind its peer.
  it('does not judge a key by an older configuration than the peer had', () => {
    const added = {...TEAM, keyDigest: digestKey('added', 'utf8')};
    expect(gate.check(testTeamRequest(added, 2))).to.include({
      kind: ErrorKind.CONFIGURATION_UNCONFIRMED,
      ran: ExecutionStatus.NOT_EXECUTED,
    });
  });

  it('refuses with a time to retry while the configuration is unconfirmed', () => {
    unconfirmed = createUnconfirmedRefusal();
    const refusal = gate.check(testTeamRequest(TEAM));
    expect(refusal).to.equal(unconfirmed);
    expect(refusal?.retryAfterMilliseconds).to.be.greaterThan(0);
  });

  // Guards against a request that waits for a configuration it does not need.
  it('lets requests without a team pass and takes nothing of a quota', async () => {
    unconfirmed = createUnconfirmedRefusal();
    configuration = undefined;
    const request = testTeamRequest(undefined);
    expect(gate.check(request)).to.equal(undefined);
    expect((await gate.admit(request)).ok).to.equal(true);
    expect(taken).to.have.length(0);
  });

  it('takes the quota of an admitted request once', async () => {
    const request = testTeamRequest(TEAM);
    expect((await gate.admit(request)).ok).to.equal(true);
    gate.check(request);
    expect(taken).to.deep.equal([request]);
  });

  it('admits requests of teams after the configuration has lost its teams', () => {
    configuration = testConfiguration(2, undefined);
    expect(gate.check(testTeamRequest(TEAM))).to.equal(undefined);
  });
});
