/** What a fleet of one size costs, per node. */
export interface GrowthRow {
  readonly nodes: number;
  readonly storeCallsPerSecond: number;
  /** All nodes together. */
  readonly fleetStoreCallsPerSecond: number;
  readonly exchangesPerSecond: number;
  readonly messageBytesPerSecond: number;
  /** Core and virtual time together: an upper bound of the core alone. */
  readonly cpuShare: number;
  readonly changeBytes: number;
  readonly wholeCopyBytes: number;
  readonly inForceMs: number;
  readonly calls: ReadonlyMap<string, number>;
}
