/** State of this node's handling of restores of the store from a backup. */
export interface RestoreState {
  /** Latest era received from the store or a peer; undefined before the first. */
  era?: number;
  /** When this era replaced an earlier one on this node; -Infinity for the first era. */
  eraChangedAtMs: number;
  /** When this node read its first era, unless that was on the first start of the system; it can't tell how long ago that era began. */
  firstEraAtMs?: number;
  /** The era that is marked in the store as settled: all that wrote there have had the time to write again. */
  settledEra?: number;
  /** When the store last proved the configuration while it was not known whether its era is settled. */
  heldProofAtMs: number;
  /** The engines have to be listed again after the restore. */
  isRelistPending: boolean;
}
