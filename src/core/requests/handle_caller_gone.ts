import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {cancelAttempt} from './cancel_attempt.js';
import {removeRequest} from './remove_request.js';
import {recordOnceOutcome} from '../once/index.js';

/** Cancels the request of a caller that disconnected, unless its outcome must be recorded. */
export function handleCallerGone(
  step: Step,
  {requestId}: EventOf<'callerGone'>,
): void {
  const record = step.state.requests.byId.get(requestId);
  if (!record || record.isDetached) return;
  if (record.info.unrepeatable && record.phase === 'running') {
    record.isDetached = true;
    return;
  }
  cancelAttempt(step, record);
  if (record.info.unrepeatable) recordOnceOutcome(step, record);
  removeRequest(step, record);
}
