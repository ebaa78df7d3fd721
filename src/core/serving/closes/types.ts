/** A body that ended with its connection: whether it is complete depends on whether the target's process went on. */
export interface ClosedBody {
  /** When the connection closed. */
  readonly atMs: number;
  /** When the process that sent the body is last known to have run. */
  readonly aliveAtMs: number;
  /** The target was leaving then, for long enough to end by itself. */
  readonly isPlanned: boolean;
  /** When the target was last probed since the close; -Infinity before. */
  probedAtMs: number;
  /** The target has refused a connection since. */
  isRefused: boolean;
  /** What showed that the body is complete; undefined until then. */
  proof?: string;
  /** When that was decided. */
  finishedAtMs?: number;
}
