import type {DigestLoad, ServingState} from './types.js';
import {peerLoad} from './peer_load.js';

/** Adds the loads of a digest to the sums of all peers, or takes them off. */
export function addPeerLoads(
  state: ServingState,
  loads: readonly DigestLoad[],
  factor: 1 | -1,
): void {
  for (const {vmId, inFlight, unreadTokens} of loads) {
    const load = peerLoad(state, vmId);
    load.inFlight += factor * inFlight;
    load.unreadTokens += factor * unreadTokens;
  }
}
