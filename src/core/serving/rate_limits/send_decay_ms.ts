/** Time in which the weight of a send falls to 1/e: long against the delay of digests, short against the 4 s in which engines check their limit. */
export const SEND_DECAY_MS = 1000;
