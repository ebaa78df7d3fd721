/** Measurements of a run through an outage of the store. */
export interface OutageMeasures {
  readonly repeatableSent: number;
  /** Repeatable requests that were not answered. */
  readonly repeatableLost: number;
  /** Sent while the store was down, after the nodes had detected the outage. */
  readonly unrepeatableSent: number;
  readonly unrepeatableRefusedNotRun: number;
  readonly unrepeatableOther: number;
  readonly refusalMaxMs: number;
  /** 1 when the node that started during the outage is ready at the end, else 0. */
  readonly lateNodeReady: number;
  readonly callsPerSecondDown: number;
  /** Store calls in the busiest 100 ms of the minute after the store returned. */
  readonly peakCallsAtReturn: number;
  readonly longestStoreWaitMs: number;
  /** Time from the return of the store until every node has its lease. */
  readonly leasesBackMs: number;
}
