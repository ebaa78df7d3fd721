import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Whether the nodes are few enough for each to hear every other. */
export function isFullMesh(state: NodeState): boolean {
  const nodes = state.membership.peers.size + 1;
  return nodes <= MEMBERSHIP_TIMING.maxFullMesh;
}
