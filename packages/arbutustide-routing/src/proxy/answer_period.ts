/** How long this node answers requests. */
export interface AnswerPeriod {
  /**
   * When upstreams must have answered at the latest (monotonic); Infinity unless
   * this node stops.
   */
  readonly endsAtMilliseconds: number;
}

/** The period of a node that does not stop. */
export const ENDLESS_ANSWER_PERIOD: AnswerPeriod = {
  endsAtMilliseconds: Infinity,
};
