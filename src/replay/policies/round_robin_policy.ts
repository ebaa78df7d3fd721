import type {DispatchPolicy} from '../../core/routing/types.js';
import type {RequestRecord} from '../../core/requests/types.js';
import type {Step} from '../../core/state/types.js';
import type {Target} from '../../core/targets/types.js';

/**
 * Baseline: selects targets in turn, even if they are full, so that requests
 * queue at the engines.
 */
export class RoundRobinPolicy implements DispatchPolicy {
  private next = 0;

  /** `start` is the index of the first target; it differs between nodes. */
  constructor(start: number) {
    this.next = start;
  }

  select(step: Step, record: RequestRecord): Target | undefined {
    const {targets} = step.state;
    const ids = [...(targets.byService.get(record.info.service) ?? [])];
    for (let tries = 0; tries < ids.length; tries++) {
      const target = targets.byId.get(ids[this.next++ % ids.length]!);
      if (!target || target.bar) continue;
      if (!record.failedTargets.has(target.targetId)) return target;
    }
    return undefined;
  }
}
