/** Time limits of stewards, in milliseconds. */
export const STEWARD_TIMING = {
  leaseTtlMs: 5000,
  keepAliveMs: 1500,
  /** Bound, over one lease, on the drift of two clocks and on the delay of the start of the lease. */
  driftMs: 500,
  /** Time-out of an order; an order without an answer may still be carried out. */
  orderTimeoutMs: 1000,
  /** After the time-out of an order, only engine reports at least this much newer show its effect. */
  orderSettleMs: 1000,
  /** Delay per rank before a candidate claims a domain that has no steward. */
  candidateStepMs: 1500,
  /** A steward that receives no engine report for this long gives up. */
  cutOffMs: 5000,
  reconcileMs: 250,
  planMs: 500,
  watchMs: 10_000,
  retryMs: 1000,
  /** Consecutive plans must contain a step for this long before it is carried out. */
  settleMs: 400,
  /** A replica must be surplus for this long before it is drained. */
  surplusMs: 5000,
  /** Time within which all nodes have read that a replica drains. */
  drainNoticeMs: 3000,
  /** Longest wait for the requests of a draining replica to end. */
  drainMaxMs: 900_000,
  /** Time after which a planned replica no longer holds back the loads of less urgent ones. */
  weightTurnMs: 30_000,
  /** Time that a VM must be stable after its first loss; doubles with each further one, up to the maximum. */
  holdBaseMs: 10_000,
  holdMaxMs: 600_000,
} as const;
