/** Times and sizes of membership. */
export const MEMBERSHIP_TIMING = {
  heartbeatIntervalMs: 1000,
  /** Two lost heartbeats, and what delay adds. */
  suspectAfterMs: 2500,
  /** A suspected peer is forgotten after this; only the store being up says it is gone. */
  forgetAfterMs: 120_000,
  /** Longest gap between events before the process counts as paused. */
  maxPauseMs: 3000,
  minLeaseTtlMs: 10_000,
  maxLeaseTtlMs: 30_000,
  /** Share of a lease, counted from the request, within which it surely holds. */
  leaseSafeShare: 0.7,
  /** Up to this many nodes, each sends its heartbeat to every other. */
  maxFullMesh: 24,
  /** Ring neighbours that get a node's heartbeats beyond that. */
  partners: 3,
  /** Further nodes, chosen anew each time, that get gossip. */
  gossipFanOut: 2,
  relaysPerZone: 2,
  listIntervalMs: 30_000,
  /** Nodes that are no relays read the list at this interval. */
  rareListIntervalMs: 300_000,
  watchTimeoutMs: 25_000,
  joinIntervalMs: 1000,
  minBackoffMs: 250,
  maxBackoffMs: 5000,
} as const;
