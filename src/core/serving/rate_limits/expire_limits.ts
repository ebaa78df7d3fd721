import type {ServingState} from '../types.js';

/** Sends that are older have no weight left, even for the lowest rate. */
const MAX_SEND_AGE_MS = 20_000;

/** Removes the limits of engines that are unknown or have restarted, and counts that have decayed. */
export function expireLimits(state: ServingState, nowMs: number): void {
  const {limits, ownSends, peerSends, decisions} = state.rateLimits;
  for (const [vmId, {bornAtMs}] of limits) {
    const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
    if (engine?.bornAtMs === bornAtMs) continue;
    limits.delete(vmId);
    decisions.delete(vmId);
  }
  for (const [vmId, {atMs}] of ownSends) {
    if (nowMs - atMs > MAX_SEND_AGE_MS) ownSends.delete(vmId);
  }
  for (const [vmId, {total, byPeer}] of peerSends) {
    if (nowMs - total.atMs > MAX_SEND_AGE_MS) peerSends.delete(vmId);
    for (const [key, {atMs}] of byPeer) {
      if (nowMs - atMs > MAX_SEND_AGE_MS) byPeer.delete(key);
    }
  }
}
