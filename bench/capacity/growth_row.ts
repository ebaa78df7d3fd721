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
  /** Bytes of configuration messages per change. */
  readonly changeBytes: number;
  /** Size of all service files, which a full transfer of the configuration sends. */
  readonly fullCopyBytes: number;
  /** Longest time from a publication until every node has the revision. */
  readonly maxPropagationMs: number;
  /** Store calls of all nodes by area and kind, in the measured 60 s. */
  readonly calls: ReadonlyMap<string, number>;
}
