/** Times and bounds of the configuration. */
export const CONFIG_TIMING = {
  /** Relays read the head at this interval, beside their watch. */
  headIntervalMs: 10_000,
  watchTimeoutMs: 25_000,
  pullTimeoutMs: 2000,
  /** A node that starts waits this long for a first heartbeat. */
  hearPeersMs: 3000,
  publishTimeoutMs: 12_000,
  publishRetryMs: 300,
  /** Nodes that find the store behind spread their restoring over this. */
  restoreSpreadMs: 3000,
  maxPublications: 64,
  maxHeadPublications: 16,
  maxRemoved: 1024,
  maxHeadRemoved: 32,
} as const;
