/** Intervals and time limits of the target registry, in milliseconds. */
export const TARGET_TIMING = {
  /** Interval between two reads of the VM list. */
  listIntervalMs: 1000,
  /** Interval between two polls of a VM. */
  pollIntervalMs: 500,
  /** Maximum age of a report for dispatching requests. */
  freshMs: 1500,
  /** Time without a fresh report after which a VM is lost and its replica's streams move to other targets. */
  lostMs: 3000,
  /** Time without a fresh report after which a replica is only used again once its document was read again. */
  rereadAfterSilenceMs: 5000,
  /** How long an announcement of a target that it is leaving overrides its later reports. */
  leavingAnnouncementTtlMs: 5000,
  /** How long lists must lack many reporting VMs before these are removed. */
  shrunkListMs: 30_000,
  /** How long VMs are still polled after the list lacks them. */
  departedPollMs: 60_000,
  /** How long health and reports of departed VMs are kept. */
  departedKeepMs: 600_000,
  sweepIntervalMs: 250,
} as const;
