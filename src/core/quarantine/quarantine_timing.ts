/** Time limits and bounds of the quarantine. */
export const QUARANTINE_TIMING = {
  /** A suspect that neither runs to its end nor is lost again is forgotten after this. */
  suspectMs: 300_000,
  quarantineMs: 300_000,
  /** A target that does not report for so long after a broken connection is lost. */
  confirmMs: 4000,
  /** A suspect has its target apart from other suspects for this long. */
  trialMs: 10_000,
  /** Leave to run is used within this, or asked for anew. */
  grantMs: 1000,
  /** After a refusal, the arbiter is asked again after this. */
  deniedMs: 500,
  askTimeoutMs: 300,
  sweepIntervalMs: 200,
  maxSuspects: 4096,
  maxMessageSuspects: 64,
} as const;
