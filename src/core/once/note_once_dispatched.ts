import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Marks a claim as dispatched, after which it is never abandoned; false when it was abandoned before. */
export function noteOnceDispatched(step: Step, record: RequestRecord): boolean {
  const claim = step.state.once.claims.get(record.info.onceKey!);
  if (claim?.record !== record || claim.phase !== 'held') return false;
  claim.phase = 'dispatched';
  return true;
}
