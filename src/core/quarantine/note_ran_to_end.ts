import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Clears a fingerprint that ran to its end. */
export function noteRanToEnd(_step: Step, _info: RequestInfo): void {}
