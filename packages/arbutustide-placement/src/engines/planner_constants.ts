/** Interval at which a node that does not plan checks whether it leads. */
export const STANDBY_MILLISECONDS = 500;
/** Used fraction of the weight store's rate; the rest is for late orders. */
export const STORE_RATE_SHARE = 0.95;
/**
 * The pause after a pass in relation to its time, so that a node with little
 * processor time has some left for what the planner waits for.
 */
export const PASS_PAUSE_FACTOR = 4;
/** A process that stands still during a pass makes it long as well. */
export const MAXIMUM_PASS_PAUSE_MILLISECONDS = 2_000;
