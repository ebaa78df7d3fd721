/** Source of time for a node. */
export interface Clock {
  /** Milliseconds that never decrease; the origin depends on the implementation. */
  nowMs(): number;
}
