import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Selects a target with a free slot for a request; undefined when no target is eligible. */
export function selectTarget(
  step: Step,
  record: RequestRecord,
  leaveFreeSlots = 0,
): Target | undefined {
  return step.state.routing.policy.select(step, record, leaveFreeSlots);
}
