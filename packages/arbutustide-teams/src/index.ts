/** Teams of callers: their keys, and how recently a node confirmed them. */
export type {TeamQuotas} from './team_quotas.js';

export {UNLIMITED_QUOTAS} from './team_quotas.js';
