/** How long a peer is avoided that could not be reached, broke off, or fell silent. */
export const AVOID_PEER_MS = 1000;
