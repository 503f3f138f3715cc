import type {ServingConfiguration} from '@arbutustide/routing';

import {silentLogger} from '@arbutustide/telemetry';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ClusterTeamQuotas} from '../../proxy/quotas/cluster_team_quotas.js';
import {ConfiguredLimits} from '../../proxy/quotas/configured_limits.js';
import {QuotaMembership} from '../../proxy/quotas/quota_membership.js';
import {DEFAULT_QUOTA_RULE} from '../../proxy/quotas/quota_tuning.js';
import {createQuotaConfiguration} from './quota_configuration.js';

describe('updates of the issuers of quotas', () => {
  let clock: ReturnType<typeof install>;

  beforeEach(() => {
    clock = install();
  });
  afterEach(() => clock.uninstall());

  function countUpdates(configuration: ServingConfiguration): number {
    let updates = 0;
    const quotas = new ClusterTeamQuotas({
      identity: 'a',
      rule: DEFAULT_QUOTA_RULE,
      limits: new ConfiguredLimits(() => configuration, DEFAULT_QUOTA_RULE),
      membership: new QuotaMembership({
        identity: 'a',
        listNodes: () => [],
        reachableShare: () => {
          updates += 1;
          return 1;
        },
        mayHavePeers: true,
      }),
      countNodes: () => 1,
      transport: {leaseQuota: () => expect.fail('no call is due')},
      onEvent: () => {},
      suspensionToleranceMilliseconds: 300,
      random: () => 0.5,
      logger: silentLogger(),
    });
    for (let update = 0; update < 16; update += 1) {
      quotas.update();
      clock.tick(250);
    }
    return updates;
  }

  // Guards against work for quotas that nobody has configured.
  it('are rare while no team has a quota', () => {
    expect(countUpdates(createQuotaConfiguration(1, []))).to.equal(4);
  });

  it('are frequent while a team has one', () => {
    const configuration = createQuotaConfiguration(1, [
      {name: 'a', ratePerSecond: 1, burst: 1},
    ]);
    expect(countUpdates(configuration)).to.equal(16);
  });
});
