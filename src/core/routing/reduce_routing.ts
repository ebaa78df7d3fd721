import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import {applyReport} from './apply_report.js';
import {poolOf} from './pool_of.js';
import {returnTargets} from './return_targets.js';
import {findTarget} from './find_target.js';

/** Reduces the events of routing: load reports, cache changes and ticks. */
export function reduceRouting(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'tick':
      returnTargets(step);
      return refreshPools(step);
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

/** Refreshes the pools of all queues, so that waiting requests can use new targets without another event. */
function refreshPools(step: Step): void {
  for (const service of step.state.admission.queues.keys()) {
    poolOf(step, service);
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
