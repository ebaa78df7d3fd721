import type {TargetLoad} from './target_load.js';

/** Occupied slots of a target: this node's attempts now, plus the last reported load of other nodes. */
export function occupiedSlots(load: TargetLoad): number {
  return load.reportedOtherLoad + load.own.size;
}
