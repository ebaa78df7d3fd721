interface CallRates {
  /** Upper limit for a single node. */
  readonly maxCallsPerSecond: number;
  /** Upper limit for all nodes together. */
  readonly fleetCallsPerSecond: number;
}

/** Returns the calls per second, at least one, that each of `liveNodes` nodes may make. */
export function resolveCallShare(rates: CallRates, liveNodes: number): number {
  const share = rates.fleetCallsPerSecond / Math.max(1, liveNodes);
  return Math.max(1, Math.min(rates.maxCallsPerSecond, Math.floor(share)));
}
