import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Quarantine's share of the reducer: suspects told by peers, and expiry. */
export function reduceQuarantine(_step: Step, _event: NodeEvent): void {}
