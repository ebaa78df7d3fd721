/** What this node's calls say of the store. */
export interface StoreHealth {
  /** Calls in a row that got no answer. */
  failures: number;
  /** First of these; undefined while the store answers. */
  failingSinceMs?: number;
  /** No call of lower priority before this, so that a store that returns is not flooded. */
  resumeAtMs: number;
}
