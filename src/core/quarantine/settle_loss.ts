import type {Step} from '../state/types.js';
import type {TargetLoss} from './target_loss.js';

/** Stops waiting for reports about a loss. */
export function settleLoss(step: Step, loss: TargetLoss): void {
  const {lossesByAwaitedVm} = step.state.quarantine;
  for (const vmId of loss.awaitedBootIds.keys()) {
    const others = lossesByAwaitedVm.get(vmId);
    if (others?.delete(loss) && others.size === 0)
      lossesByAwaitedVm.delete(vmId);
  }
  loss.awaitedBootIds.clear();
}
