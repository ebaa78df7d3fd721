/** What a run through an outage of the store showed. */
export interface OutageMeasures {
  readonly repeatableSent: number;
  /** Without a whole answer. */
  readonly repeatableLost: number;
  /** Sent while the store was down, after it was noticed. */
  readonly unrepeatableSent: number;
  readonly unrepeatableRefusedNotRun: number;
  readonly unrepeatableOther: number;
  readonly refusalMaxMs: number;
  /** The node that started in the outage serves with the configuration in force. */
  readonly lateNodeReady: number;
  readonly callsPerSecondDown: number;
  /** In the busiest tenth of a second of the minute after its return. */
  readonly peakCallsAtReturn: number;
  readonly longestStoreWaitMs: number;
  /** From the return until every node has its lease. */
  readonly leasesBackMs: number;
}
