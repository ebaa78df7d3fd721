import type {DigestLoad, ServingState} from './types.js';
import {resolvePeerLoad} from './resolve_peer_load.js';

/** Adds a digest's loads to the sums over all peers (factor 1), or subtracts them (factor -1). */
export function addPeerLoads(
  state: ServingState,
  loads: readonly DigestLoad[],
  factor: 1 | -1,
): void {
  for (const {vmId, inFlight, unreadTokens} of loads) {
    const load = resolvePeerLoad(state, vmId);
    load.inFlight += factor * inFlight;
    load.unreadTokens += factor * unreadTokens;
  }
}
