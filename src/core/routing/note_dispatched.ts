import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Takes a slot of a target for a request. */
export function noteDispatched(
  step: Step,
  _record: RequestRecord,
  target: Target,
): void {
  const {inFlight} = step.state.routing;
  inFlight.set(target.targetId, (inFlight.get(target.targetId) ?? 0) + 1);
}
