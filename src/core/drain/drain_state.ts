/** Progress of a drain of this node; times in milliseconds. */
export interface DrainState {
  draining: boolean;
  startedAtMs: number;
  /** Time at which the last request had been answered and the audit trail written. */
  answeredAtMs?: number;
  /** Whether the `exit` effect was emitted. */
  exited: boolean;
}
