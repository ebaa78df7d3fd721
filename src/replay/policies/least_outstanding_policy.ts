import type {DispatchPolicy} from '../../core/routing/types.js';
import type {RequestRecord} from '../../core/requests/types.js';
import type {Step} from '../../core/state/types.js';
import type {Target} from '../../core/targets/types.js';
import {ownInFlight} from '../../core/routing/index.js';

/** Baseline: takes the target with the least own work, full or not; equals in turn. */
export class LeastOutstandingPolicy implements DispatchPolicy {
  private next = 0;

  /** Nodes start their turns at different targets. */
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
