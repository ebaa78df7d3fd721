/** Number of nodes of the fleet, as a maximum over the last periods. */
export interface FleetSizeState {
  /** Highest number seen in the current period. */
  peakCount: number;
  /** Highest number seen in the period before. */
  previousPeakCount: number;
  periodStartMs: number;
}
