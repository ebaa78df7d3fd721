/** Measurements of one run of a load trace. A wait ends when an engine first runs the request. */
export interface LoadMeasures {
  readonly shortWaitP50Ms: number;
  readonly shortWaitP95Ms: number;
  readonly shortWaitP99Ms: number;
  /** 99th percentile of the time from first send to end, over all short requests of the trace. */
  readonly shortTimeP99Ms: number;
  /**
   * Share of the short requests sent in the load peak that were answered
   * completely within their deadline.
   */
  readonly shortInDeadline: number;
  /** Share of all requests of the trace that were answered completely within their deadline. */
  readonly allInDeadline: number;
  /** Mean time of long requests from first send to end. */
  readonly longMeanMs: number;
  readonly longP95Ms: number;
  /**
   * Jain's index over organisations of responses within the deadline relative
   * to the weighted fair share.
   */
  readonly fairness: number;
  readonly retriesPerRequest: number;
  readonly refusals: number;
  /** 95th percentile of the wait of short requests sent 3 s or more after the load peak. */
  readonly afterWaitP95Ms: number;
}
