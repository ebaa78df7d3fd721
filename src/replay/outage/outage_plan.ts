/** Parameters of a store outage, from the head of its trace. */
export interface OutagePlan {
  readonly nodes: number;
  /** Calls per second that the store processes; further calls wait. */
  readonly storeCallsPerSecond: number;
  readonly downFromMs: number;
  readonly downUntilMs: number;
  readonly endMs: number;
  /** Requests per second of all callers together; every tenth must run at most once. */
  readonly requestsPerSecond: number;
}
