/** Quotas of teams over all nodes. */
export {};
