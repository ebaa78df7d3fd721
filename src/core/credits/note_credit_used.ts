import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {groupOf} from './group_of.js';

/** Counts a dispatch towards the next demand for the target's group. */
export function noteCreditUsed(step: Step, target: Target): void {
  const {credits, targets} = step.state;
  const {service, targetId} = target;
  const size = targets.byService.get(service)?.size ?? 0;
  const group = credits.groups.get(groupOf(service, targetId, size));
  if (group) group.started += 1;
}
