/** Order in which calls pass a node's store budget; larger first. */
export const STORE_PRIORITY = {
  onceClaim: 50,
  lease: 40,
  config: 30,
  steward: 20,
  membership: 15,
  audit: 0,
} as const;
