import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The target registry's share of the reducer: VM lists, reports, bars. */
export function reduceTargets(_step: Step, _event: NodeEvent): void {}
