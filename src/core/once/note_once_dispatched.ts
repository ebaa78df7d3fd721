import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Marks a claim as dispatched; from now on it is never given up. False: it was given up before. */
export function noteOnceDispatched(
  _step: Step,
  _record: RequestRecord,
): boolean {
  return true;
}
