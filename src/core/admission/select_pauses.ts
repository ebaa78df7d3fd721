import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/**
 * Chooses running long streams to pause, so that waiting short requests get their
 * slots. The caller cancels each attempt for `pause` and requeues the request.
 */
export function selectPauses(_step: Step): RequestRecord[] {
  return [];
}
