import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';

/** Boot ID of a target's leader as last reported; empty when unknown. */
export function targetBoot(step: Step, targetId: TargetId): string {
  const {leaders, reports} = step.state.targets;
  const leader = leaders.get(targetId);
  return (leader && reports.get(leader)?.report.bootId) ?? '';
}
