import type {NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';

/** Answers operators' questions; publications are handled by the config area. */
export function reduceOperators(_step: Step, _event: NodeEvent): void {}
