import type {Step} from '../state/types.js';
import type {Target} from './target.js';
import type {VmId} from '../ids/index.js';
import {updateTarget} from './update_target.js';

/** Adds a target or replaces the one with the same ID, and updates its bar. `leader` is the VM that serves its requests. */
export function addTarget(step: Step, target: Target, leader: VmId): void {
  const {targets} = step.state;
  const {targetId, service} = target;
  targets.byId.set(targetId, target);
  targets.leaders.set(targetId, leader);
  const serviceTargets = targets.byService.get(service) ?? new Set();
  targets.byService.set(service, serviceTargets.add(targetId));
  for (const vmId of target.vms) targets.targetByVm.set(vmId, targetId);
  updateTarget(step, targetId);
}
