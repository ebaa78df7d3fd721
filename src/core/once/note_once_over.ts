import type {EventOf} from '../events/types.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Records the end of an unrepeatable request: its answer, or that it was not run. */
export function noteOnceOver(
  _step: Step,
  _record: RequestRecord,
  _ended?: EventOf<'attemptEnded'>,
): void {}
