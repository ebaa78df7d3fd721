import type {DispatchPolicy} from './dispatch_policy.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';

/** Takes the target with the least own work among those with a free slot. */
export class LeastInFlightPolicy implements DispatchPolicy {
  select(step: Step, record: RequestRecord): Target | undefined {
    const {routing, targets} = step.state;
    let best: Target | undefined;
    let bestLoad = Infinity;
    for (const id of targets.byService.get(record.info.service) ?? []) {
      const target = targets.byId.get(id)!;
      const load = routing.inFlight.get(id) ?? 0;
      if (target.bar || record.failedTargets.has(id)) continue;
      if (load >= target.slots || load >= bestLoad) continue;
      best = target;
      bestLoad = load;
    }
    return best;
  }
}
