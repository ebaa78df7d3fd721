import type {TargetLoad} from './target_load.js';

/** Slots taken: own work as it is now, and others' as last reported. */
export function occupiedSlots(load: TargetLoad): number {
  return load.othersAtReport + load.own.size;
}
