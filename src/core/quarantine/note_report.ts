import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {confirmLoss} from './confirm_loss.js';
import {disproveLoss} from './disprove_loss.js';

/** Confirms or disproves likely losses by a report that was made after them. */
export function noteReport(
  step: Step,
  {report, ageMs}: EventOf<'targetReported'>,
): void {
  const {awaited} = step.state.quarantine;
  for (const loss of awaited.get(report.vmId) ?? []) {
    if (step.nowMs - ageMs <= loss.atMs) continue;
    if (loss.awaited.get(report.vmId) !== report.bootId) {
      confirmLoss(step, loss);
      continue;
    }
    loss.awaited.delete(report.vmId);
    awaited.get(report.vmId)?.delete(loss);
    if (loss.awaited.size === 0) disproveLoss(step, loss);
  }
}
