import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {confirmLoss} from './confirm_loss.js';
import {disproveLoss} from './disprove_loss.js';

/** Confirms or disproves likely losses by a report that was made after them. */
export function noteReport(
  step: Step,
  {report, ageMs}: EventOf<'targetReported'>,
): void {
  const {lossesByAwaitedVm} = step.state.quarantine;
  for (const loss of lossesByAwaitedVm.get(report.vmId) ?? []) {
    if (step.nowMs - ageMs <= loss.atMs) continue;
    if (loss.awaitedBootIds.get(report.vmId) !== report.bootId) {
      confirmLoss(step, loss);
      continue;
    }
    loss.awaitedBootIds.delete(report.vmId);
    lossesByAwaitedVm.get(report.vmId)?.delete(loss);
    if (loss.awaitedBootIds.size === 0) disproveLoss(step, loss);
  }
}
