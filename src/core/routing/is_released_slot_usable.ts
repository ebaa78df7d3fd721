import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {freeSlots} from './free_slots.js';
import {loadOf} from './load_of.js';

/** Whether a slot that this node releases on a target would be free for another of its requests. */
export function isReleasedSlotUsable(step: Step, targetId: TargetId): boolean {
  const target = step.state.targets.byId.get(targetId);
  if (!target) return false;
  const load = loadOf(step, targetId);
  return freeSlots(step, target, load) >= 0;
}
