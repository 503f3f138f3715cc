/** Teams of callers: their keys, and how recently a node confirmed them. */
export type {AuthenticationTerms, FreshnessCheck} from './authenticator.js';
export type {FreshnessOptions} from './configuration_freshness.js';
export type {TeamGateOptions} from './team_gate.js';
export type {TeamQuotas} from './team_quotas.js';

export {Authenticator, createKeyRefusal} from './authenticator.js';
export {
  ConfigurationFreshness,
  createUnconfirmedRefusal,
  MAXIMUM_AGE_SHARE,
} from './configuration_freshness.js';
export {
  digestKey,
  encodeKeyDigest,
  KeyTable,
  KeyTableCache,
} from './key_table.js';
export {TeamGate} from './team_gate.js';
