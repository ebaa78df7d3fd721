interface Rates {
  /** Most that one node may make. */
  readonly maxCallsPerSecond: number;
  /** Most that all nodes together may make. */
  readonly fleetCallsPerSecond: number;
}

/** Calls a second that a node may make among so many live nodes. */
export function callShare(rates: Rates, liveNodes: number): number {
  const share = rates.fleetCallsPerSecond / Math.max(1, liveNodes);
  return Math.max(1, Math.min(rates.maxCallsPerSecond, Math.floor(share)));
}
