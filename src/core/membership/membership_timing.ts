/** Times in milliseconds and sizes of membership. */
export const MEMBERSHIP_TIMING = {
  heartbeatIntervalMs: 1000,
  /** Two lost heartbeats and some network delay. */
  suspectAfterMs: 2500,
  /** Time after which a suspected peer is removed; it counts only while the store is up. */
  forgetAfterMs: 120_000,
  /** Longest gap between events before the process counts as paused. */
  maxPauseMs: 3000,
  minLeaseTtlMs: 10_000,
  maxLeaseTtlMs: 30_000,
  /** Share of the lease duration, counted from the request, within which it certainly holds. */
  leaseSafeShare: 0.7,
  /** Up to this many nodes, each sends its heartbeat to every other. */
  maxFullMesh: 24,
  /** Ring neighbours to which a node sends heartbeats when there are more nodes than that. */
  partners: 3,
  /** Further nodes, drawn at random each time, that receive gossip. */
  gossipFanOut: 2,
  relaysPerZone: 2,
  listIntervalMs: 30_000,
  /** Interval at which nodes other than relays list the node records. */
  rareListIntervalMs: 300_000,
  watchTimeoutMs: 25_000,
  joinIntervalMs: 1000,
  minBackoffMs: 250,
  maxBackoffMs: 5000,
} as const;
