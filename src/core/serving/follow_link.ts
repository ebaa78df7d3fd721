import type {LoadDigest, PeerLink} from './types.js';

/**
 * Estimates how late a peer's digest is. The clocks of two nodes have nothing
 * in common but their pace, so the fastest digest so far is taken as one that
 * took no time.
 */
export function followLink(
  before: PeerLink | undefined,
  digest: LoadDigest,
  nowMs: number,
): PeerLink {
  const {life, sentAtMs} = digest;
  const offsetMs = nowMs - sentAtMs;
  const known = before?.life === life ? before : undefined;
  const leastOffsetMs = Math.min(known?.leastOffsetMs ?? Infinity, offsetMs);
  return {
    life,
    sinceMs: known?.sinceMs ?? nowMs,
    leastOffsetMs,
    delayMs: offsetMs - leastOffsetMs,
  };
}
