/** A body that ended with its connection: whether it is complete depends on whether the target's process went on. */
export interface ClosedBody {
  /** When the connection closed. */
  readonly atMs: number;
  readonly status: number;
  /** When the target was last probed for this; -Infinity before. */
  probedAtMs: number;
  /** A probe has not been answered yet. */
  isProbing: boolean;
  /** The target has refused a connection since. */
  isRefused: boolean;
  /** What showed that the body is complete; undefined until then. */
  proof?: string;
}
