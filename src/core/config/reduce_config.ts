import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The configuration's share of the reducer. */
export function reduceConfig(_step: Step, _event: NodeEvent): void {}
