/** Cost per node of a fleet of one size. */
export interface GrowthRow {
  readonly nodes: number;
  readonly storeCallsPerSecond: number;
  /** Sum over all nodes. */
  readonly fleetStoreCallsPerSecond: number;
  readonly exchangesPerSecond: number;
  readonly messageBytesPerSecond: number;
  /** Processor share of the core and the simulation together: an upper bound of the core alone. */
  readonly cpuShare: number;
  /** Configuration messages per changed service. */
  readonly changeBytes: number;
  /** All service files, as a full transfer of the configuration sends them. */
  readonly wholeCopyBytes: number;
  /** Longest time from a publication until every node has the revision. */
  readonly inForceMs: number;
  /** Store calls of all nodes by area and kind, in the measured 60 s. */
  readonly calls: ReadonlyMap<string, number>;
}
