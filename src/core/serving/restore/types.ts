/** What a node knows of the store's returns from copies. */
export interface RestoreState {
  /** The latest era that the store, or a peer, told; undefined before the first. */
  era?: number;
  /** When this era was first heard of, after another; -Infinity for the first. */
  sinceMs: number;
  /** The engines are to be listed once more when the return is over. */
  isRelistDue: boolean;
}
