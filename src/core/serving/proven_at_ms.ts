import type {PeerView} from './types.js';

/** Time over which digests are observed before the fastest one's delay is trusted; about twenty digests. */
const MIN_LINK_AGE_MS = 2000;
/** Margin: more than the fastest digest takes between regions, plus the clock error after a suspension. */
const LINK_SLACK_MS = 100;

/** Latest time, by this node's clock, at which the peer's proof is sure to hold, from the proof's age in its digest; -Infinity if there is none or the link is too new. */
export function provenAtMs({link, atMs}: PeerView, ageMs: number): number {
  if (ageMs < 0 || atMs - link.sinceMs < MIN_LINK_AGE_MS) return -Infinity;
  return atMs - link.delayMs - ageMs - LINK_SLACK_MS;
}
