import type {RefusalError} from '@arbutustide/errors';
import type {
  GateAdmission,
  RequestGate,
  RoutedRequest,
  ServingConfiguration,
} from '@arbutustide/routing';
import type {Result} from 'ts-results';

import type {FreshnessCheck} from './authenticator.js';
import type {KeyTableCache} from './key_table.js';
import type {TeamQuotas} from './team_quotas.js';

import {OPEN_GATE} from '@arbutustide/routing';
import {Err} from 'ts-results';

import {createKeyRefusal} from './authenticator.js';
import {createUnconfirmedRefusal} from './configuration_freshness.js';

/** What a gate decides by. */
export interface TeamGateOptions {
  /** The newest configuration in force at the time of the call. */
  readonly currentConfiguration: () => ServingConfiguration | undefined;
  readonly keyTables: KeyTableCache;
  readonly freshness: FreshnessCheck;
  readonly quotas: TeamQuotas;
}

/**
 * Lets requests of teams pass while their keys are known to be valid and their
 * quotas last. Requests without a team pass.
 */
export class TeamGate implements RequestGate {
  constructor(private readonly options: TeamGateOptions) {}

  async admit(
    request: RoutedRequest,
  ): Promise<Result<GateAdmission, RefusalError>> {
    if (!request.team) return OPEN_GATE.admit(request);
    const refusal = this.check(request);
    return refusal ? Err(refusal) : this.options.quotas.take(request);
  }

  check({team, configurationVersion}: RoutedRequest): RefusalError | undefined {
    if (!team) return undefined;
    const {currentConfiguration, keyTables, freshness} = this.options;
    const unconfirmed = freshness.refuseIfUnconfirmed();
    if (unconfirmed) return unconfirmed;
    const configuration = currentConfiguration();
    if (!configuration) return createUnconfirmedRefusal();
    const table = keyTables.tableOf(configuration);
    if (!table || table.findTeam(team.keyDigest)) return undefined;
    // A peer passed it on by a newer configuration, which may have added the
    // key.
    const isBehind = configurationVersion > configuration.version;
    return isBehind ? createUnconfirmedRefusal() : createKeyRefusal();
  }
}
