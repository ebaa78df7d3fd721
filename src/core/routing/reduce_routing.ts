import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Routing's share of the reducer: cache changes and observers' reports. */
export function reduceRouting(_step: Step, _event: NodeEvent): void {}
