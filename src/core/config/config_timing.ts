/** Intervals, time-outs and size limits for distributing the configuration. */
export const CONFIG_TIMING = {
  /** Relays read the head at this interval, in addition to their watch. */
  headIntervalMs: 10_000,
  watchTimeoutMs: 25_000,
  pullTimeoutMs: 2000,
  /** A starting node with a reachable store waits this long for a first heartbeat. */
  hearPeersMs: 3000,
  publishTimeoutMs: 12_000,
  publishRetryMs: 300,
  /**
   * Random delay before writing back to a store that is behind, so that nodes
   * do not all write at once.
   */
  restoreSpreadMs: 3000,
  maxPublications: 64,
  maxHeadPublications: 16,
  maxRemoved: 1024,
  maxHeadRemoved: 32,
} as const;
