/** Moving mean and mean deviation of the waits for signs. */
export interface WaitEstimate {
  meanMs: number;
  deviationMs: number;
  /** Number of waits in it. */
  count: number;
}

/**
 * What this node has heard of the process of a target, or of any target of a pool,
 * since its own requests went there. A sign is an event, a response, a refusal or
 * the answer to a probe. A connection is none, since the kernel accepts it, and the
 * request behind it, also for a process that stands still.
 */
export interface SignRecord {
  /** This node's requests there. */
  inFlight: number;
  /** Those among them that have had an event. */
  startedCount: number;
  /** Last sign; -Infinity for none. */
  heardAtMs: number;
  /** Requests of this node that were sent since, also those that it has cancelled: they may still reach the process. */
  unheardCount: number;
  /** Last send; -Infinity for none. */
  sentAtMs: number;
  /** Since when a sign is due; undefined if nothing was sent that could bring one. */
  awaitedSinceMs?: number;
  /** Since when it counts as silent; undefined while it does not. */
  silentSinceMs?: number;
  /** When it was last probed for its silence; -Infinity for never. */
  probedAtMs: number;
  /** Waits for signs while no request had an event: responses and first events. */
  readonly firstWait: WaitEstimate;
  /** Waits for signs while streams were running. */
  readonly gapWait: WaitEstimate;
}
