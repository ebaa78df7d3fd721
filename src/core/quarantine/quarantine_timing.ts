/** Time limits and bounds of the quarantine; times in milliseconds. */
export const QUARANTINE_TIMING = {
  /** A suspect that neither completes nor is involved in another loss is dropped after this time. */
  suspectMs: 300_000,
  quarantineMs: 300_000,
  /** A target without a report for this long after a broken connection counts as lost. */
  confirmMs: 4000,
  /** How long a target stays reserved for one suspect. */
  trialMs: 10_000,
  /** Validity of a grant; afterwards it has to be requested again. */
  grantMs: 1000,
  /** Time after a denial until the arbiter is asked again. */
  deniedMs: 500,
  askTimeoutMs: 300,
  sweepIntervalMs: 200,
  maxSuspects: 4096,
  maxMessageSuspects: 64,
} as const;
