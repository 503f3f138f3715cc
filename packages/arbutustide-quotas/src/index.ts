/** Quotas of teams over all nodes: the issuer's ledger and a node's leases. */
export type {CallIssuer, QuotaIssuerAddress} from './issuer_calls.js';
export type {QuotaAdmission, QuotaClientOptions} from './quota_client.js';
export type {IssuerStanding, QuotaIssuerOptions} from './quota_issuer.js';
export type {QuotaLimits, QuotaRule} from './quota_limits.js';
export type {QuotaClaim, QuotaGrant} from './quota_messages.js';

export {PauseMeter} from './pause_meter.js';
export {QuotaClient, QuotaEvent} from './quota_client.js';
export {QuotaIssuer} from './quota_issuer.js';
export {IMMEDIATE_MILLISECONDS} from './quota_limits.js';
