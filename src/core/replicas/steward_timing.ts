/** Time limits of stewards, in milliseconds. */
export const STEWARD_TIMING = {
  leaseTtlMs: 5000,
  keepAliveMs: 1500,
  /** Bound on the drift of two clocks, and on the delay of a lease's start, over one lease. */
  driftMs: 500,
  /** An order that is not answered by then may still be carried out. */
  orderTimeoutMs: 1000,
  /** After an unanswered order, the engine's reports must be newer than this past its time-out. */
  orderSettleMs: 1000,
  /** Head start of each better placed candidate for a domain without steward. */
  candidateStepMs: 1500,
  /** A steward that hears no engine for this long gives up. */
  cutOffMs: 5000,
  reconcileMs: 250,
  planMs: 500,
  watchMs: 10_000,
  retryMs: 1000,
  /** A planned step must stay wanted this long. */
  settleMs: 400,
  /** A surplus replica must stay surplus this long. */
  surplusMs: 5000,
  /** Time in which all nodes learn that a replica drains. */
  drainNoticeMs: 3000,
  /** Longest wait for the requests of a draining replica. */
  drainMaxMs: 900_000,
  /** A planned replica gives way to less urgent ones after this long. */
  weightTurnMs: 30_000,
  /** Shortest time that a VM must be steady after a loss before it is used again. */
  holdBaseMs: 10_000,
  holdMaxMs: 600_000,
} as const;
