import type {LoadDigest, PeerLink} from './types.js';

/**
 * Estimates the transit delay of a peer's digest. The clocks of two nodes have no
 * common origin, only the same rate, so the fastest digest so far is assumed to have
 * had no delay.
 */
export function updatePeerLink(
  previous: PeerLink | undefined,
  digest: LoadDigest,
  nowMs: number,
): PeerLink {
  const {incarnation, sentAtMs} = digest;
  const offsetMs = nowMs - sentAtMs;
  const current = previous?.incarnation === incarnation ? previous : undefined;
  const minOffsetMs = Math.min(current?.minOffsetMs ?? Infinity, offsetMs);
  return {
    incarnation,
    firstReceivedAtMs: current?.firstReceivedAtMs ?? nowMs,
    minOffsetMs,
    delayMs: offsetMs - minOffsetMs,
  };
}
