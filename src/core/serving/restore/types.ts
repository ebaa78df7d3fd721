/** State of this node's handling of restores of the store from a backup. */
export interface RestoreState {
  /** Latest era received from the store or a peer; undefined before the first. */
  era?: number;
  /** When this era replaced an earlier one on this node; -Infinity for the first era. */
  eraChangedAtMs: number;
  /** The engines have to be listed again after the restore. */
  isRelistPending: boolean;
}
