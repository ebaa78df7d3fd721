import type {EffectOf} from '../effects/types.js';
import type {NodeState} from '../state/types.js';
import {makeId, type NodeId} from '../ids/index.js';

/** Addresses from the settings, under names that no node has. */
export function seedPeers(state: NodeState): EffectOf<'setPeers'>['peers'] {
  const {seedPeers: addresses = [], controlAddress} = state.self;
  return addresses
    .filter(address => address !== controlAddress)
    .map(address => ({nodeId: makeId<NodeId>(`seed:${address}`), address}));
}
