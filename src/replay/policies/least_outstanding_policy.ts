import type {DispatchPolicy} from '../../core/routing/types.js';
import type {RequestRecord} from '../../core/requests/types.js';
import type {Step} from '../../core/state/types.js';
import type {Target} from '../../core/targets/types.js';
import {ownInFlight} from '../../core/routing/index.js';

/**
 * Baseline: selects the target with the fewest requests of this node, even if
 * it is full; ties are broken round-robin.
 */
export class LeastOutstandingPolicy implements DispatchPolicy {
  private next = 0;

  /** `start` is the index of the first target; it differs between nodes. */
  constructor(start: number) {
    this.next = start;
  }

  select(step: Step, record: RequestRecord): Target | undefined {
    const {targets} = step.state;
    const ids = [...(targets.byService.get(record.info.service) ?? [])];
    const start = this.next++;
    let best: Target | undefined;
    let bestLoad = Infinity;
    for (let at = 0; at < ids.length; at++) {
      const target = targets.byId.get(ids[(start + at) % ids.length]!);
      if (!target || target.bar) continue;
      if (record.failedTargets.has(target.targetId)) continue;
      const load = ownInFlight(step.state, target.targetId);
      if (load >= bestLoad) continue;
      best = target;
      bestLoad = load;
    }
    return best;
  }
}
