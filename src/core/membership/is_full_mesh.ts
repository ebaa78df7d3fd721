import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Whether there are few enough nodes for each to send heartbeats to every other. */
export function isFullMesh(state: NodeState): boolean {
  const nodes = state.membership.peers.size + 1;
  return nodes <= MEMBERSHIP_TIMING.maxFullMesh;
}
