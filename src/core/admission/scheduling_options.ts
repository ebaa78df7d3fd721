/** Mechanisms of admission and routing; replays switch one off to see what it is worth. */
export interface SchedulingOptions {
  /** Short requests leave the queue before long ones. */
  readonly shortFirst: boolean;
  /** Long requests hold at most a share of each target's slots. */
  readonly longShare: boolean;
  /** Long streams are paused while short requests wait. */
  readonly pauses: boolean;
  /** Organisations take turns by weight; off: first come, first served. */
  readonly fairness: boolean;
  /** Requests that cannot be answered in time are refused on arrival. */
  readonly deadlineRefusal: boolean;
  /** Retries are bounded by a share of first tries. */
  readonly retryBudget: boolean;
  /** Targets that hold a request's prefix are preferred. */
  readonly prefixAffinity: boolean;
  /** Loads are weighed by each target's measured speed. */
  readonly relativeSpeed: boolean;
  /** Failing targets are left out for a while. */
  readonly ejection: boolean;
  /** Brokers lend nodes credits for targets' slots; off: nodes go by reports alone. */
  readonly credits: boolean;
  /** Reports are corrected by own dispatches since they were true. */
  readonly loadCorrection: boolean;
}
