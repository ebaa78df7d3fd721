import type {NodeState} from '../state/types.js';
import type {ReplicaEntry} from './replica_entry.js';
import {hasWeights} from './has_weights.js';

/** Counts the VMs of a replica that have to load its weights. */
export function countLoads({targets}: NodeState, entry: ReplicaEntry): number {
  return entry.vms.filter(vmId => !hasWeights(targets, vmId, entry)).length;
}
