/** Source of time for a node. */
export interface Clock {
  /** Milliseconds since the epoch; monotonic, anchored to the wall clock at start. */
  nowMs(): number;
}
