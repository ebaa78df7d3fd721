import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {allowedSlots} from './allowed_slots.js';
import {loadOf} from './load_of.js';

/** Slots of a target that may be used now; none when it is not known. */
export function findAllowedSlots(step: Step, targetId: TargetId): number {
  const target = step.state.targets.byId.get(targetId);
  if (!target) return 0;
  return allowedSlots(step, target, loadOf(step, targetId));
}
