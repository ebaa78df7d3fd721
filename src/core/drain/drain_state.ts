/** Whether this node is leaving. */
export interface DrainState {
  draining: boolean;
  startedAtMs: number;
  /** When the last request was answered. */
  answeredAtMs?: number;
  exited: boolean;
}
