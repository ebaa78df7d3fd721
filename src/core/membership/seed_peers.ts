import type {EffectOf} from '../effects/types.js';
import type {NodeState} from '../state/types.js';
import {makeId, type NodeId} from '../ids/index.js';

/** Seed peers from the settings, under ids that no node has, since their node ids are not known yet. */
export function seedPeers(state: NodeState): EffectOf<'setPeers'>['peers'] {
  const {seedPeers: addresses = [], controlAddress} = state.self;
  return addresses
    .filter(address => address !== controlAddress)
    .map(address => ({nodeId: makeId<NodeId>(`seed:${address}`), address}));
}
