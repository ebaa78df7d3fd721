import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Hook for the first token of an attempt; routing derives the speed from whole attempts only. */
export function noteFirstToken(_step: Step, _record: RequestRecord): void {}
