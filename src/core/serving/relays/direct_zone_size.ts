/** A zone with more nodes than this exchanges digests through relays: all-to-all exchange grows with the square of the nodes. */
export const DIRECT_ZONE_SIZE = 7;
