import type {PeerView} from './types.js';

/** Time over which digests are observed before the fastest one's delay is trusted; about twenty digests. */
const MIN_LINK_AGE_MS = 2000;
/** Margin: more than the fastest digest takes between regions, plus the clock error after a suspension. */
const LINK_SLACK_MS = 100;

/**
 * Returns a lower bound, by this node's clock, of the time at which the store's
 * response reached a peer, from the proof's age in the peer's digest. -Infinity if
 * the peer has no proof or the delay of its digests hasn't been estimated well enough yet.
 */
export function resolveProofAtMs(
  {link, atMs}: PeerView,
  ageMs: number,
): number {
  if (ageMs < 0 || atMs - link.firstReceivedAtMs < MIN_LINK_AGE_MS)
    return -Infinity;
  return atMs - link.delayMs - ageMs - LINK_SLACK_MS;
}
