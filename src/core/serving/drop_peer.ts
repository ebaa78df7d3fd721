import type {PeerKey, ServingState} from './types.js';
import {addPeerLoads} from './add_peer_loads.js';

/** Removes a digest and subtracts its loads from the sums. */
export function dropPeer(state: ServingState, key: PeerKey): void {
  const view = state.peers.get(key);
  if (!view) return;
  addPeerLoads(state, view.digest.loads, -1);
  state.peers.delete(key);
}
