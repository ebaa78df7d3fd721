/** Time limits of the target registry, in milliseconds. */
export const TARGET_TIMING = {
  /** Between two readings of the VM list. */
  listIntervalMs: 1000,
  /** Between two polls of one VM. */
  pollIntervalMs: 500,
  /** Older reports are no ground to dispatch. */
  freshMs: 1500,
  /** A VM silent for longer is lost: its replica's streams move. */
  lostMs: 3000,
  /** A replica whose VM was silent for longer needs its document read again. */
  rereadAfterMs: 5000,
  /** A target that said it leaves is believed over later reports for this long. */
  leavingBeliefMs: 5000,
  /** A list that drops many reporting VMs is believed once it repeats for this long. */
  shrunkListMs: 30_000,
  /** VMs gone from the list are still polled for this long. */
  departedPollMs: 60_000,
  /** Records of departed VMs are kept for this long. */
  departedKeepMs: 600_000,
  sweepIntervalMs: 250,
} as const;
