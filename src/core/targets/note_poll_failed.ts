import type {Step} from '../state/types.js';
import type {VmId} from '../ids/index.js';
import {noteSilence} from './note_silence.js';
import {updateTarget} from './update_target.js';

/** Invalidates the reports of a VM whose poll was refused, since no engine runs there. Ignores other failures. */
export function notePollFailed(step: Step, vmId: VmId, refused: boolean): void {
  const {targets} = step.state;
  const health = targets.health.get(vmId);
  if (!health || !refused) return;
  health.distrustedUntilMs = step.nowMs;
  noteSilence(step, vmId, health);
  const targetId = targets.targetByVm.get(vmId);
  if (targetId) updateTarget(step, targetId);
}
