/** Whether this node is leaving. */
export interface DrainState {
  draining: boolean;
  startedAtMs: number;
  exited: boolean;
}
