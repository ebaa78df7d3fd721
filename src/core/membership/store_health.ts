/** Health of the store as seen by this node's calls. */
export interface StoreHealth {
  /** Consecutive calls without an answer. */
  failures: number;
  /** Time of the first of these; undefined while the store answers. */
  failingSinceMs?: number;
  /** No low-priority call is sent before this time, so that a recovering store is not flooded. */
  resumeAtMs: number;
}
