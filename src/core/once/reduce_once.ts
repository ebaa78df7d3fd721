import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The at-most-once ledger's share of the reducer. */
export function reduceOnce(_step: Step, _event: NodeEvent): void {}
