import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/**
 * Reverts a claim to `held` after the target did not accept the request, which
 * is queued again and may be abandoned.
 */
export function noteOnceUndispatched(step: Step, record: RequestRecord): void {
  const claim = step.state.once.claims.get(record.info.onceKey!);
  if (claim?.record !== record || claim.phase !== 'dispatched') return;
  claim.phase = 'held';
}
