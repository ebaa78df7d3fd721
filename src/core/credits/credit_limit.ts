import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {groupOf} from './group_of.js';

/**
 * Number of requests that this node may have in flight on a target; undefined
 * without valid credits, when engine reports alone limit dispatch.
 */
export function creditLimit(step: Step, target: Target): number | undefined {
  const {admission, credits, targets} = step.state;
  if (!admission.options.credits) return undefined;
  const {service, targetId} = target;
  const size = targets.byService.get(service)?.size ?? 0;
  const group = credits.groups.get(groupOf(service, targetId, size));
  if (!group || step.nowMs >= group.freshUntilMs) return undefined;
  return group.limits.get(targetId) ?? 0;
}
