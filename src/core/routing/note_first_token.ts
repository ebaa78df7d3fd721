import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Learns a target's speed from the time to its first token. */
export function noteFirstToken(_step: Step, _record: RequestRecord): void {}
