/** A body that ended with its connection: whether it is complete depends on whether the target's process went on. */
export interface ClosedBody {
  /** When the connection closed. */
  readonly atMs: number;
  /** When the process that sent the body is last known to have run. */
  readonly aliveAtMs: number;
  /** The target was leaving then, for long enough to end by itself. */
  readonly isPlanned: boolean;
  /** Other connections to the process that were open some time after the close; undefined until then. */
  openConnections?: number;
  /** When the last probe was sent that this body waited for; -Infinity before. */
  probedAtMs: number;
  /** That probe has not been answered yet. */
  isProbing: boolean;
  /** The target has refused a connection since. */
  isRefused: boolean;
  /** What showed that the body is complete; undefined until then. */
  proof?: string;
  /** When that was decided. */
  finishedAtMs?: number;
}
