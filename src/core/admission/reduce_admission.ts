import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Admission's share of the reducer. */
export function reduceAdmission(_step: Step, _event: NodeEvent): void {}
