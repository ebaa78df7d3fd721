import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Subtracts a request that `checkLimits` counted as in flight. */
export function releaseInFlight(step: Step, info: RequestInfo): void {
  const {inFlight} = step.state.limits;
  const used = inFlight.get(info.organisation) ?? 0;
  inFlight.set(info.organisation, Math.max(0, used - 1));
}
