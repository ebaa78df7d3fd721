import type {LoadDigest, PeerLink} from './types.js';

/**
 * Estimates the transit delay of a peer's digest. The clocks of two nodes have no
 * common origin, only the same rate, so the fastest digest so far is assumed to have
 * had no delay.
 */
export function followLink(
  previous: PeerLink | undefined,
  digest: LoadDigest,
  nowMs: number,
): PeerLink {
  const {life, sentAtMs} = digest;
  const offsetMs = nowMs - sentAtMs;
  const current = previous?.life === life ? previous : undefined;
  const leastOffsetMs = Math.min(current?.leastOffsetMs ?? Infinity, offsetMs);
  return {
    life,
    sinceMs: current?.sinceMs ?? nowMs,
    leastOffsetMs,
    delayMs: offsetMs - leastOffsetMs,
  };
}
