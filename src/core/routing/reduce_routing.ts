import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {applyReport} from './apply_report.js';
import {returnTargets} from './return_targets.js';
import {findTarget} from './find_target.js';

/** Routing's share of the reducer: load reports and cache changes. */
export function reduceRouting(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'tick':
      return returnTargets(step);
    case 'targetReported': {
      const target = findTarget(step, event.report);
      if (target) applyReport(step, target);
      return;
    }
    case 'targetCacheChanged':
      return applyCacheChange(step, event);
    default:
  }
}

function applyCacheChange(
  step: Step,
  event: EventOf<'targetCacheChanged'>,
): void {
  const target: Target | undefined = findTarget(step, event);
  if (!target) return;
  step.state.routing.prefixes.apply(target.targetId, event);
}
