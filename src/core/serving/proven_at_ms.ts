import type {PeerView} from './types.js';

/** Digests of this long tell how fast the fastest is; some twenty of them. */
const LINK_KNOWN_MS = 2000;
/** More than the fastest digest takes between regions, and the error of a clock after a suspension. */
const LINK_SLACK_MS = 100;

/** When the store's answer reached a peer, by this node's clock, from the age in the peer's digest. */
export function provenAtMs({link, atMs}: PeerView, ageMs: number): number {
  if (ageMs < 0 || atMs - link.sinceMs < LINK_KNOWN_MS) return -Infinity;
  return atMs - link.delayMs - ageMs - LINK_SLACK_MS;
}
