import type {Step} from '../state/types.js';
import type {TargetLoss} from './target_loss.js';

/** Stops waiting for reports about a loss. */
export function settleLoss(step: Step, loss: TargetLoss): void {
  const {awaited} = step.state.quarantine;
  for (const vmId of loss.awaited.keys()) {
    const others = awaited.get(vmId);
    if (others?.delete(loss) && others.size === 0) awaited.delete(vmId);
  }
  loss.awaited.clear();
}
