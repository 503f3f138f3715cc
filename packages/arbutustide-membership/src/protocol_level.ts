/** What a node's build understands, as its published status says. */
export enum ProtocolLevel {
  /** Builds that publish no level. */
  INITIAL = 0,
  /** Teams in relayed requests, ConfirmConfiguration and LeaseQuota. */
  TEAMS = 1,
  /** LendRetries, and all requests of a node in one field. */
  RETRY_LOANS = 2,
  /** RequestHoldings, and the planner's PlannedLoads. */
  PLANNED_LOADS = 3,
}
