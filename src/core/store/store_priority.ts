/** Priorities of store calls within a node's call budget; higher values are sent first. */
export const STORE_PRIORITY = {
  onceClaim: 50,
  lease: 40,
  config: 30,
  steward: 20,
  membership: 15,
  audit: 0,
} as const;
