import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {allowedSlots} from './allowed_slots.js';
import {loadOf} from './load_of.js';

/** Usable slots of a target now; 0 when the target is unknown. */
export function findAllowedSlots(step: Step, targetId: TargetId): number {
  const target = step.state.targets.byId.get(targetId);
  if (!target) return 0;
  return allowedSlots(step, target, loadOf(step, targetId));
}
