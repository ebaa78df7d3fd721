/** Switches for mechanisms of admission and routing; replays turn one off to measure its effect. */
export interface SchedulingOptions {
  /** Short requests leave the queue before long ones. */
  readonly shortFirst: boolean;
  /** Long requests leave some slots free for short ones. */
  readonly longShare: boolean;
  /** Long streams are paused while short requests wait. */
  readonly pauses: boolean;
  /** Organisations take turns by weight; off: first come, first served. */
  readonly fairness: boolean;
  /** Requests that cannot be answered in time are refused on arrival. */
  readonly deadlineRefusal: boolean;
  /** Retries are bounded by a share of first attempts. */
  readonly retryBudget: boolean;
  /** Targets that cache a request's prompt prefix are preferred. */
  readonly prefixAffinity: boolean;
  /** Loads are weighted by each target's measured speed. */
  readonly relativeSpeed: boolean;
  /** Targets that fail repeatedly are ejected for a time. */
  readonly ejection: boolean;
  /** Brokers lend nodes credits for targets' slots; off: nodes rely on load reports alone. */
  readonly credits: boolean;
  /** Load reports are corrected by this node's dispatches since they were made. */
  readonly loadCorrection: boolean;
}
