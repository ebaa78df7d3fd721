import type {Step} from '../state/types.js';
import type {VmId} from '../ids/index.js';
import {updateSilence} from './update_silence.js';
import {updateTarget} from './update_target.js';

/** Invalidates the reports of a VM whose poll was refused, since no engine runs there. Ignores other failures. */
export function applyPollFailure(
  step: Step,
  vmId: VmId,
  refused: boolean,
): void {
  const {targets} = step.state;
  const health = targets.health.get(vmId);
  if (!health || !refused) return;
  health.reportsIgnoredUntilMs = step.nowMs;
  updateSilence(step, vmId, health);
  const targetId = targets.targetByVm.get(vmId);
  if (targetId) updateTarget(step, targetId);
}
