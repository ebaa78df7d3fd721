import type {Step} from '../state/types.js';
import {seedPeers} from './seed_peers.js';

/** Updates the addresses of peers in the runtime after a change. */
export function syncPeerAddresses(step: Step): void {
  const {state} = step;
  const {membership} = state;
  if (!membership.arePeersStale) return;
  membership.arePeersStale = false;
  const peers = [
    ...seedPeers(state),
    ...[...membership.peers.values()].map(peer => ({
      nodeId: peer.nodeId,
      address: peer.controlAddress,
    })),
  ];
  step.effects.push({type: 'setPeers', peers});
}
