/** Maximum number of nodes in a zone for direct exchange of digests; larger zones use relays, since all-to-all traffic grows with the square of the number of nodes. */
export const MAX_DIRECT_ZONE_SIZE = 7;
