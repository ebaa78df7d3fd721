import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetLoad} from './target_load.js';
import {allowedSlots} from './allowed_slots.js';
import {creditLimit} from '../credits/index.js';
import {occupiedSlots} from './occupied_slots.js';

/**
 * Slots of a target that this node may still fill, by its credits or, without
 * credits, by reports; negative when overcommitted.
 */
export function freeSlots(
  step: Step,
  target: Target,
  load: TargetLoad,
): number {
  const allowed = allowedSlots(step, target, load);
  const limit = creditLimit(step, target);
  if (limit === undefined) return allowed - occupiedSlots(load);
  return Math.min(limit, allowed) - load.own.size;
}
