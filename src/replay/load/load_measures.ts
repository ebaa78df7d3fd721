/** What is measured of one run of a load trace. Waits end when an engine runs the request. */
export interface LoadMeasures {
  readonly shortWaitP50Ms: number;
  readonly shortWaitP95Ms: number;
  readonly shortWaitP99Ms: number;
  /** Time from first send to end, 99 in 100 short requests of the whole trace. */
  readonly shortTimeP99Ms: number;
  /** Short requests answered whole within their deadline, of those sent at the crest. */
  readonly shortInDeadline: number;
  /** The same for all requests of the trace. */
  readonly allInDeadline: number;
  /** Mean time of long requests from first send to end. */
  readonly longMeanMs: number;
  readonly longP95Ms: number;
  /** Jain's index over organisations of answers in deadline against their weighted fair part. */
  readonly fairness: number;
  readonly retriesPerRequest: number;
  readonly refusals: number;
  /** Short wait, 95 in 100, of requests sent 3 s or more after the crest. */
  readonly afterWaitP95Ms: number;
}
