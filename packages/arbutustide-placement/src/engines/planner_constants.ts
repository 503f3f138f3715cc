/** Interval at which a node that does not plan checks whether it leads. */
export const STANDBY_MILLISECONDS = 500;
/** Used fraction of the weight store's rate; the rest is for late orders. */
export const STORE_RATE_SHARE = 0.95;
