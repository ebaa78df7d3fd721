import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The stewards' share of the reducer: leases, documents, orders. */
export function reduceReplicas(_step: Step, _event: NodeEvent): void {}
