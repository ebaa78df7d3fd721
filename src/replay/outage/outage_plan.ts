/** What a store-outage trace states in its head. */
export interface OutagePlan {
  readonly nodes: number;
  /** Calls a second that the store carries out; further calls wait. */
  readonly storeCallsPerSecond: number;
  readonly downFromMs: number;
  readonly downUntilMs: number;
  readonly endMs: number;
  /** Requests a second of all callers; every tenth must run at most once. */
  readonly requestsPerSecond: number;
}
