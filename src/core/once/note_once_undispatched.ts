import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Notes that the target did not take the request: it waits again and may be given up. */
export function noteOnceUndispatched(step: Step, record: RequestRecord): void {
  const claim = step.state.once.claims.get(record.info.onceKey!);
  if (claim?.record !== record || claim.phase !== 'dispatched') return;
  claim.phase = 'held';
}
