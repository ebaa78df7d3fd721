import type {AttemptResult} from './attempt_result.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';

/** Gives back the slot of the record's attempt and learns from its end. */
export function noteAttemptOver(
  step: Step,
  record: RequestRecord,
  _result: AttemptResult,
): void {
  const targetId = record.attempt?.targetId;
  if (targetId === undefined) return;
  const {inFlight} = step.state.routing;
  inFlight.set(targetId, Math.max(0, (inFlight.get(targetId) ?? 0) - 1));
}
