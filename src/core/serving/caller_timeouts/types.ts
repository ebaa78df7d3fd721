/** Time-outs that callers of a route sent lately, and what they say about those of first attempts. */
export interface CallerTimeouts {
  /** Recent time-outs, in order of arrival; the oldest is replaced. */
  readonly recentMs: number[];
  /** Number of time-outs recorded so far. */
  count: number;
  /** Shortest time-out of a first attempt, as estimated; undefined before the first sample. */
  shortestFirstMs?: number;
  /** When `shortestFirstMs` was last updated. */
  updatedAtMs: number;
}
