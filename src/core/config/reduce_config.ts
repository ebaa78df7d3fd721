import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The configuration's share of the reducer. */
export function reduceConfig(step: Step, event: NodeEvent): void {
  if (event.type === 'tick') step.state.config.isCatchingUp = false;
}
